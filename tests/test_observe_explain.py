"""Tests of explanations, one for each kind of complaint about a job."""

import unittest
from datetime import UTC, datetime, timedelta

from redwingslip.observe import Event, EventName, TimelineEvent, explain

BEGIN = datetime(2026, 1, 1, tzinfo=UTC)


class TestExplain(unittest.TestCase):
    """`explain` names the causes of a job's outcome."""

    def setUp(self):
        self.events = []

    def add_event(self, at_s, name, *, process="controller-1", job_id="j1", **fields):
        """Append an event to the merged logs."""
        event = Event(name=name, request_id=job_id, **fields)
        self.events.append(
            TimelineEvent(
                process=process,
                run="r",
                sequence=len(self.events),
                time=BEGIN + timedelta(seconds=at_s),
                event=event,
            )
        )

    def causes(self):
        """Return all causes as one text."""
        return " ".join(explain(self.events, "j1").causes)

    def test_an_id_without_events(self):
        self.add_event(0, EventName.JOB_ACCEPTED, job_id="other")
        self.assertIn("No line", self.causes())
        self.assertEqual(explain(self.events, "j1").events, ())

    def test_a_successful_job(self):
        self.add_event(0, EventName.JOB_ACCEPTED)
        self.add_event(
            0.1, EventName.RUN_ORDERED, vm="v1", detail="0.0.0 run 1 accepted"
        )
        self.add_event(
            1, EventName.RUN_ENDED, vm="v1", detail="0.0.0 run 1 done; job done"
        )
        self.assertIn("Nothing went wrong", self.causes())

    def test_an_evacuation_names_the_data_centre(self):
        """Guards against a wait or a stop whose cause is an operator's call."""
        for at_s, verb, name in (
            (0, EventName.EVACUATION_STARTED, "north"),
            (1, EventName.EVACUATION_FINISHED, "north"),
            (2, EventName.EVACUATION_STARTED, "east"),
        ):
            self.add_event(at_s, verb, job_id="", detail=name)
        self.add_event(3, EventName.JOB_ACCEPTED)
        self.add_event(3.1, EventName.START_WITHDRAWN, vm="v1", detail="0.0.0 run 1")
        self.add_event(5, EventName.RUN_ORDERED, vm="v2", detail="0.0.0 run 2 accepted")
        self.add_event(6, EventName.EVACUATION_MOVE, vm="v2", detail="0.0.0 run 2")
        causes = self.causes()
        self.assertIn("A start on v1 was withdrawn: 0.0.0 run 1.", causes)
        self.assertIn("A run on v2 was stopped to move: 0.0.0 run 2.", causes)
        self.assertIn("During the wait nothing was started in east.", causes)

    def test_a_refusal_names_the_loss_of_the_leader_behind_it(self):
        self.add_event(
            5, EventName.LEADER_SILENT, process="gateway-2", job_id="", detail="c1: 1 s"
        )
        self.add_event(
            5, EventName.LEADER_SILENT, process="gateway-3", job_id="", detail="c1: 9 s"
        )
        self.add_event(
            6,
            EventName.CALL_REFUSED,
            process="gateway-2",
            status=503,
            detail="no leader is known",
        )
        text = self.causes()
        self.assertIn("did not run", text)
        self.assertIn("gateway-2 had lost its leader: c1: 1 s", text)
        self.assertNotIn("gateway-3", text)

    def test_an_unknown_outcome_states_whether_a_leader_accepted_the_job(self):
        self.add_event(6, EventName.CALL_REFUSED, process="gateway-2", status=504)
        self.assertIn("no leader had accepted it", self.causes())
        self.add_event(7, EventName.JOB_ACCEPTED)
        self.assertIn("a leader had accepted it", self.causes())

    def test_a_withdrawn_key(self):
        self.add_event(6, EventName.CALL_REFUSED, status=401, detail="the key, plan 7")
        self.assertIn("refused the call with 401: the key, plan 7", self.causes())

    def test_a_late_job_names_what_happened_while_it_waited(self):
        self.add_event(0, EventName.JOB_ACCEPTED)
        self.add_event(1, EventName.LEADER_ELECTED, process="controller-2", job_id="")
        self.add_event(2, EventName.MOVE_ORDERED, vm="m1", job_id="")
        self.add_event(3, EventName.RUN_ORDERED, vm="v1", detail="0.0.0 run 1 accepted")
        self.add_event(4, EventName.MOVE_ORDERED, vm="m2", job_id="")
        text = self.causes()
        self.assertIn("waited 3.00 s", text)
        self.assertIn("controller-2 became leader", text)
        self.assertIn("1 machines were ordered to other pools", text)

    def test_waits_for_racks(self):
        """Guards against late jobs whose delay by choice nobody can see."""
        for task in ("0.0.0 run 0", "0.0.1 run 0"):
            detail = f"{task} waits for room in rack r1"
            self.add_event(0, EventName.RACK_WAIT_BEGUN, detail=detail)
        self.assertIn("0.0.1 run 0 waits for room in rack r1", self.causes())
        detail = "0.0.0 run 0 for r1: started in the rack after 90 ms"
        self.add_event(1, EventName.RACK_WAIT_ENDED, detail=detail)
        detail = "0.0.1 run 0 for r1: started elsewhere after 900 ms"
        self.add_event(1, EventName.RACK_WAIT_ENDED, detail=detail)
        self.assertIn(
            "1 tasks waited for the rack of their data in vain", self.causes()
        )
        self.assertNotIn("A task waits", self.causes())

    def test_runs_on_a_slow_vm(self):
        """Guards against late jobs whose slow VM nobody names."""
        self.add_event(0, EventName.VM_SLOW, vm="v1", detail="speed 0.25", job_id="")
        for _ in range(2):
            self.add_event(1, EventName.RUN_ORDERED, vm="v1")
            self.add_event(1, EventName.RUN_ORDERED, vm="v2")
        self.add_event(2, EventName.VM_NORMAL, vm="v1", job_id="")
        self.add_event(3, EventName.RUN_ORDERED, vm="v1")
        text = "2 runs were started on v1, which was slow: speed 0.25."
        self.assertIn(text, self.causes())

    def test_a_run_that_was_lost_with_its_vm(self):
        self.add_event(0, EventName.JOB_ACCEPTED)
        self.add_event(
            0.1, EventName.RUN_ORDERED, vm="v1", detail="0.0.0 run 1 accepted"
        )
        self.add_event(
            7, EventName.RUN_ENDED, vm="v1", detail="0.0.0 run 1 lost; job ran"
        )
        self.assertIn("A run on v1 did not end by itself", self.causes())

    def test_a_job_that_was_given_up_after_crashes(self):
        self.add_event(0, EventName.JOB_ACCEPTED)
        self.add_event(
            7,
            EventName.RUN_ENDED,
            vm="v1",
            detail="0.0.0 run 4 lost; job failed; crashed VMs of the task: 4",
        )
        self.assertIn(
            "given up, as it crashes VMs; crashed VMs of the task: 4",
            self.causes(),
        )

    def test_a_job_that_can_not_succeed_is_distinguished_from_a_faulty_vm(self):
        self.add_event(0, EventName.JOB_ACCEPTED)
        self.add_event(
            0.1, EventName.RUN_ORDERED, vm="v1", detail="0.0.0 run 1 accepted"
        )
        self.add_event(
            1, EventName.RUN_ENDED, vm="v1", detail="0.0.0 run 1 failed; job ran"
        )
        self.add_event(
            2, EventName.RUN_ENDED, vm="v2", detail="0.0.0 run 2 failed; job failed"
        )
        self.assertIn("on different VMs: it can't succeed", self.causes())
        self.add_event(3, EventName.VM_AVOIDED, vm="v2", job_id="")
        self.assertIn(
            "v2 was ejected, since it fails runs: the VM is at fault", self.causes()
        )

    def test_a_run_that_stalled(self):
        self.add_event(1, EventName.RUN_PREEMPTED, vm="v1", detail="0.0.0 stands still")
        self.assertIn("was stopped: 0.0.0 stands still", self.causes())

    def test_a_cancelled_job(self):
        self.add_event(1, EventName.JOB_CANCELLED, detail="by its caller")
        self.assertIn("cancelled by its caller", self.causes())


if __name__ == "__main__":
    unittest.main()
