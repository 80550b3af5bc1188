"""Tests of the check of a platform's configuration before it is sent."""

import json
import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from redwingslip.checking import Severity, check_plan_document, plan_changes
from redwingslip.platform import DocumentError, parse_plan
from redwingslip.platform._documents import decode_plan
from tests.support_odd import DEEP_BODY

ROUTE = {"name": "r", "host": "h", "pathPrefix": "/r/", "service": "s", "timeoutMs": 9}
TENANT = {"name": "t", "apiKeys": ["secret-1"], "weight": 1}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s"}, {"name": "off", "standby": True}],
    "tenants": [TENANT],
}
ODD = st.sampled_from(["", "r", "s", "t", "/", "h", 0, -1, 1.5, 2**60, None, [], True])


def entries(entry):
    """Return lists of entries like a given one, with some odd values."""
    fields = {name: st.just(value) | ODD for name, value in entry.items()}
    return st.lists(st.fixed_dictionaries(fields), max_size=3)


CONFIGS = st.fixed_dictionaries(
    {
        "version": st.just(7) | ODD,
        "routes": entries(ROUTE),
        "services": entries({"name": "s", "standby": False}),
    },
    optional={"tenants": entries(TENANT)},
)


def encode(routes=(ROUTE,), **options):
    """Return a configuration with one entry on each line."""
    return json.dumps({**CONFIG, "routes": routes, **options}, indent=1).encode()


def problems(body, severity=Severity.WARNING, **options):
    """Return place and problem of each finding."""
    findings, _ = check_plan_document(body, **options)
    return [(f.place, f.problem) for f in findings if f.severity is severity]


class TestErrors(unittest.TestCase):
    """What the servers refuse."""

    @given(CONFIGS)
    @example({**CONFIG, "routes": [ROUTE, ROUTE]})
    @example({**CONFIG, "tenants": [TENANT, {**TENANT, "name": "u"}]})
    def test_errors_are_found_where_the_servers_refuse_and_only_there(self, config):
        """Guards against a document that is refused although it was checked."""
        body = json.dumps(config).encode()
        try:
            decode_plan(body)
        except DocumentError:
            is_refused = True
        else:
            is_refused = False
        self.assertEqual(bool(problems(body, Severity.ERROR)), is_refused)

    def test_bodies_that_are_no_configuration(self):
        for body in (b"", b"[]", b"\xff", DEEP_BODY):
            findings, plan = check_plan_document(body)
            self.assertEqual((len(findings), plan), (1, None))

    def test_all_errors_are_reported_with_their_lines(self):
        """The servers' answer names the first one only."""
        routes = [
            {**ROUTE, "service": "x"},
            {**ROUTE, "name": "r2", "pathPrefix": "/x"},
        ]
        body = encode([*routes, {**routes[1], "name": "r3"}])
        line = body.decode().splitlines().index('   "name": "r3",') + 1
        self.assertEqual(
            [place.split(",")[0] for place, _ in problems(body, Severity.ERROR)],
            ["routes.r", "routes.r3"],
        )
        self.assertIn(f"routes.r3, line {line}", str(problems(body, Severity.ERROR)))


class TestContradictions(unittest.TestCase):
    """What the servers accept and what can hardly be meant."""

    def test_a_sound_configuration_has_no_findings(self):
        self.assertEqual(check_plan_document(encode())[0], [])

    def test_each_contradiction_is_found(self):
        other = {**ROUTE, "name": "o"}
        for expected, options in {
            "matches no path": {"routes": [{**ROUTE, "pathPrefix": "r/"}]},
            "no call has the host": {"routes": [{**ROUTE, "host": "http://h"}]},
            "no customer has one": {"tenants": []},
            "also begins '/rest/'": {
                "routes": [
                    {**ROUTE, "pathPrefix": "/r"},
                    {**other, "pathPrefix": "/rest/"},
                ]
            },
            "standby pool": {
                "routes": [ROUTE, {**other, "service": "off", "host": "i"}]
            },
            "no queue uses": {"services": [{"name": "s"}, {"name": "unused"}]},
            "declared 2 times": {"services": [{"name": "s"}, {"name": "s"}]},
            "without a key": {
                "tenants": [TENANT, {**TENANT, "name": "u", "apiKeys": []}]
            },
            "before its run can end": {"routes": [{**ROUTE, "stretch": 0.9}]},
            "over 2000 ms": {
                "routes": [{**ROUTE, "stretch": 0.5, "targetLatencyMs": 1000}]
            },
        }.items():
            with self.subTest(expected):
                ((_, problem),) = problems(encode(**options))
                self.assertIn(expected, problem)

    def test_nested_prefixes_are_sound(self):
        routes = [{**ROUTE, "pathPrefix": p, "name": p} for p in ("/r", "/r/s/", "/r/")]
        self.assertEqual(problems(encode(routes)), [])


class TestChanges(unittest.TestCase):
    """Differences from the version in force."""

    def test_order_version_and_defaults_are_no_changes(self):
        old = parse_plan(encode([ROUTE, {**ROUTE, "name": "o", "host": "i"}]))
        routes = [{**ROUTE, "name": "o", "host": "i", "stretch": 1.0}, ROUTE]
        self.assertEqual(plan_changes(old, parse_plan(encode(routes, version=8))), [])

    def test_changes_name_the_field_and_never_a_key(self):
        """Guards against callers' keys in the output of a check."""
        old = parse_plan(encode())
        tenants = [{**TENANT, "apiKeys": ["secret-2", "secret-3"]}]
        new = parse_plan(
            encode(
                [{**ROUTE, "stretch": 2.0}], tenants=[*tenants, {**TENANT, "name": "u"}]
            )
        )
        changes = plan_changes(old, new)
        self.assertEqual(
            [(c.name, c.field, c.current, c.wanted) for c in changes[:2]],
            [("r", "stretch", 1.0, 2.0), ("t", "keys", "1 removed", "2 added")],
        )
        self.assertEqual((changes[2].name, changes[2].current), ("u", None))
        self.assertNotIn("secret", str(changes))

    def test_a_version_that_has_no_effect(self):
        current = parse_plan(encode())
        ((place, problem),) = problems(encode(), current=current)
        self.assertEqual(place, "version")
        self.assertIn("has no effect", problem)


if __name__ == "__main__":
    unittest.main()
