"""Tests of the check of resources before they are applied."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from redwingslip.checking import GivenResource, Severity, check_resources
from redwingslip.fleet import (
    Accepted,
    FleetState,
    KeySpec,
    PoolSpec,
    PutResource,
    QueueSpec,
    SiteSpec,
    TeamSpec,
    VmSpec,
    WaveSpec,
)

POOLS = st.sampled_from(["p", "q"])
SPECS = st.one_of(
    st.builds(PoolSpec, min_serving=st.integers(0, 3)),
    st.builds(VmSpec, pool=POOLS, data_centre=st.just("d")),
    st.builds(
        QueueSpec, pool=POOLS, service=st.just("s"), path=st.sampled_from(["", "/"])
    ),
    st.builds(TeamSpec, limit=st.none() | st.integers(0, 9)),
    st.builds(KeySpec, team=POOLS, sha256=st.sampled_from(["0" * 64, "1" * 64])),
    st.builds(WaveSpec, pools=st.lists(POOLS, max_size=1).map(tuple)),
    st.builds(SiteSpec),
)
RESOURCES = st.lists(
    st.tuples(st.sampled_from(["p", "q", "default"]), SPECS), max_size=8
)


SOUND_POOL = PoolSpec(min_serving=1)


def given_resources(resources):
    """Return resources with their number as the place."""
    return [
        GivenResource(place=str(number), name=name, spec=spec)
        for number, (name, spec) in enumerate(resources)
    ]


def fleet(*more, pool=SOUND_POOL, n_vms=2):
    """Return a sound fleet of one pool, and further resources."""
    vms = [(f"v{n}", VmSpec(pool="p", data_centre="d")) for n in range(n_vms)]
    queue = ("queue", QueueSpec(pool="p", service="s"))
    return given_resources([("p", pool), *vms, queue, *more])


class TestResources(unittest.TestCase):
    """Errors and contradictions of resources."""

    @given(RESOURCES)
    def test_errors_are_found_where_the_servers_refuse_and_only_there(self, resources):
        """Guards against an apply that fails half way although it was checked."""
        state = FleetState()
        refused = {
            str(number)
            for number, (name, spec) in enumerate(resources)
            if not isinstance(
                state.apply(number + 1, PutResource(name=name, spec=spec))[0], Accepted
            )
        }
        findings = check_resources(given_resources(resources))
        errors = {f.place for f in findings if f.severity is Severity.ERROR}
        self.assertEqual(errors, refused)

    def test_a_sound_fleet_has_no_findings(self):
        self.assertEqual(check_resources(fleet(("t", TeamSpec(limit=16)))), [])

    def test_each_contradiction_is_found(self):
        for expected, resources in {
            "no wave or move": fleet(pool=PoolSpec(min_serving=2)),
            "and it has 2 VMs": fleet(pool=PoolSpec(min_serving=3)),
            "max_unavailable 0": fleet(pool=PoolSpec(max_unavailable=0)),
            "max_unavailable_per_rack 0": fleet(
                pool=PoolSpec(max_unavailable_per_rack=0)
            ),
            "pool p has no VM": fleet(pool=PoolSpec(), n_vms=0),
            "no queue uses it": fleet(("x", PoolSpec())),
            "above all 16 slots": fleet(("t", TeamSpec(limit=17))),
            "runs nothing": fleet(("t", TeamSpec(limit=0))),
            "no VM to maintain": fleet(
                ("x", PoolSpec(spare=True)), ("w", WaveSpec(pools=("x",)))
            ),
        }.items():
            with self.subTest(expected):
                (finding,) = check_resources(resources)
                self.assertIn(expected, finding.problem)
                self.assertTrue(finding.fix)

    def test_references_to_what_is_in_force_are_sound(self):
        """Guards against findings for a file that declares only what is new."""
        (queue,) = given_resources([("q", QueueSpec(pool="p", service="s"))])
        self.assertEqual(check_resources([queue], current=fleet()), [])
        (finding,) = check_resources([queue])
        self.assertIs(finding.severity, Severity.ERROR)


if __name__ == "__main__":
    unittest.main()
