"""Tests of leases on the VM's own clock and of the health of VMs."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingslip.workers import HealthSettings, LeaseSettings, VmHealth, VmLease

CFG = LeaseSettings(duration=timedelta(seconds=6))
MS = timedelta(milliseconds=1)


class TestVmLease(unittest.TestCase):
    """A lease counts as expired only when it has expired on the slowest clock."""

    def test_a_new_leader_waits_until_earlier_leases_have_expired(self):
        lease = VmLease(CFG, timedelta(seconds=10))
        self.assertFalse(lease.has_expired(timedelta(seconds=16)))
        self.assertTrue(lease.has_expired(timedelta(seconds=16.5)))

    # Guards against LOST: runs on a lost VM were away for the longest lease that an
    # endpoint allows, counted by each new leader, though none was as long.
    def test_a_new_leader_waits_no_longer_than_leaders_make_leases(self):
        cfg = LeaseSettings(
            duration=timedelta(seconds=6), max_duration=timedelta(seconds=10)
        )
        lease = VmLease(cfg, timedelta(0))
        self.assertFalse(lease.has_expired(timedelta(seconds=6.1)))
        self.assertTrue(lease.has_expired(timedelta(seconds=6.5)))

    def test_a_new_leader_allows_for_a_duration_that_is_being_changed(self):
        cfg = LeaseSettings(
            duration=timedelta(seconds=6),
            longest_duration=timedelta(seconds=8),
            max_duration=timedelta(seconds=10),
        )
        lease = VmLease(cfg, timedelta(0))
        self.assertFalse(lease.has_expired(timedelta(seconds=8.1)))
        self.assertTrue(lease.has_expired(timedelta(seconds=8.5)))

    @given(
        rate=st.floats(0.98, 1.0),
        duration_s=st.floats(1, 60),
        delay_ms=st.integers(0, 2_000),
        silence_ms=st.integers(0, 2_200),
    )
    @settings(deadline=None, derandomize=True)
    def test_a_new_leader_outwaits_the_last_lease_of_the_one_before(
        self, rate, duration_s, delay_ms, silence_ms
    ):
        """The earlier leader extends the lease in the last moment of its term."""
        cfg = LeaseSettings(
            duration=timedelta(seconds=duration_s),
            max_duration=timedelta(seconds=100),
            margin=timedelta(0),
        )
        earlier = VmLease(cfg, timedelta(0))
        now = timedelta(seconds=100)
        earlier.note_clock(int(now / MS * rate), now + delay_ms * MS)
        now += (delay_ms + silence_ms) * MS
        end_ms = earlier.extend(now)
        expires_at = end_ms / rate * MS
        self.assertFalse(VmLease(cfg, now).has_expired(expires_at - 2 * MS))

    def test_a_renewal_requests_the_duration_on_the_vms_clock(self):
        lease = VmLease(CFG, timedelta(0))
        lease.note_clock(50_000, timedelta(seconds=1))
        self.assertEqual(lease.extend(timedelta(seconds=1)), 56_000)
        self.assertEqual(lease.extend(timedelta(seconds=2)), 57_000)

    def test_a_start_extends_a_lease_after_an_answer(self):
        """Guards against runs that lapse while one leader follows the other."""
        lease = VmLease(CFG, timedelta(0))
        lease.note_clock(50_000, timedelta(seconds=1))
        lease.extend(timedelta(seconds=1))
        lease.note_contact(timedelta(seconds=3))
        self.assertEqual(lease.end_for_start(timedelta(seconds=3.4)), 58_400)

    def test_a_start_extends_a_lease_only_if_little_is_left(self):
        """Guards against silent VMs whose runs can be restarted only late."""
        lease = VmLease(CFG, timedelta(0))
        lease.note_clock(50_000, timedelta(seconds=1))
        lease.extend(timedelta(seconds=1))
        expiry = lease.time_to_expiry(timedelta(0))
        self.assertEqual(lease.end_for_start(timedelta(seconds=4)), 56_000)
        self.assertEqual(lease.time_to_expiry(timedelta(0)), expiry)
        self.assertEqual(lease.end_for_start(timedelta(seconds=4.5)), 59_500)
        self.assertTrue(lease.has_expired(timedelta(seconds=4.5) + expiry))
        self.assertEqual(lease.time_to_expiry(timedelta(seconds=20)), timedelta(0))

    def test_the_first_start_extends_the_lease(self):
        lease = VmLease(CFG, timedelta(0))
        lease.note_clock(50_000, timedelta(seconds=1))
        self.assertEqual(lease.end_for_start(timedelta(seconds=1)), 56_000)

    @given(
        rate=st.floats(0.98, 1.0),
        delays=st.lists(st.integers(0, 2_000), min_size=1, max_size=12),
    )
    @settings(deadline=None, derandomize=True)
    def test_never_expires_before_the_lease_on_the_vm(self, rate, delays):
        """Answers arrive up to two seconds late and the VM's clock is slow.

        A leader that took the lease for expired too early would start a run again
        while the VM still runs it. The lease is long enough for the slow clock to
        outweigh the fixed margin.
        """
        duration = timedelta(seconds=60)
        cfg = LeaseSettings(duration=duration, max_duration=duration)
        lease = VmLease(cfg, timedelta(0) - 2 * duration)
        now = timedelta(0)
        end_ms = 0
        for delay in delays:
            # The reading is as old as the answer was delayed.
            clock_ms = int((now / MS) * rate)
            now += delay * MS
            lease.note_clock(clock_ms, now)
            end_ms = max(end_ms, lease.extend(now))
        expires_at = end_ms / rate * MS
        self.assertFalse(lease.has_expired(expires_at - MS))

    def test_a_vm_that_has_not_answered_is_out_of_contact(self):
        lease = VmLease(CFG, timedelta(0))
        lease.note_contact(timedelta(seconds=5))
        self.assertTrue(lease.is_in_contact(timedelta(seconds=7)))
        self.assertFalse(lease.is_in_contact(timedelta(seconds=7.5)))


class TestVmHealth(unittest.TestCase):
    """A poison job fails on every VM; an unhealthy VM fails several jobs."""

    def setUp(self):
        self.health = VmHealth(HealthSettings())
        self.now = timedelta(seconds=5)

    def fail(self, job, task=0, *, elsewhere=False):
        """Record a failed run; return whether the VM is ejected because of it."""
        return self.health.note_failure(job, task, self.now, fails_elsewhere=elsewhere)

    def is_ejected(self, seconds=0.0):
        """Return whether the VM is ejected some seconds later."""
        return self.health.is_ejected(self.now + timedelta(seconds=seconds))

    def test_repeated_failures_of_one_task_do_not_count(self):
        for _ in range(5):
            self.assertFalse(self.fail("poison"))
        self.assertFalse(self.health.is_avoided(self.now))

    def test_a_job_that_fails_on_other_vms_too_does_not_count(self):
        for task in range(5):
            self.assertFalse(self.fail("poison", task, elsewhere=True))

    def test_tasks_of_a_job_that_fails_only_here_eject_the_vm(self):
        self.assertFalse(self.fail("j1", 0))
        self.assertFalse(self.fail("j1", 1))
        self.assertTrue(self.fail("j1", 2))
        self.assertTrue(self.is_ejected())

    def test_a_vm_is_ejected_after_failures_of_several_jobs(self):
        self.fail("j1")
        self.assertTrue(self.fail("j2", elsewhere=True))
        self.assertTrue(self.health.is_avoided(self.now))
        self.assertTrue(self.is_ejected(2))
        self.assertFalse(self.is_ejected(4))

    def test_a_success_resets_the_count(self):
        self.fail("j1")
        self.health.note_success()
        self.assertFalse(self.fail("j2"))

    def test_failures_during_an_ejection_do_not_prolong_it(self):
        for number in range(8):
            self.fail(f"j{number}")
        self.assertFalse(self.is_ejected(4))

    def test_the_ejection_doubles_up_to_its_maximum(self):
        for number in range(8):
            self.fail(f"j{number}")
            self.now += timedelta(seconds=20)
        self.now -= timedelta(seconds=20)
        self.assertTrue(self.is_ejected(11))
        self.assertFalse(self.is_ejected(13))

    def test_an_avoided_vm_is_not_ejected(self):
        self.health.avoid(self.now)
        self.assertTrue(self.health.is_avoided(self.now))
        self.assertFalse(self.is_ejected())
