"""A pool of slots that runs jobs in the order under test, in simulated time."""

import math
import random
from collections import Counter

from redwingslip.placement import (
    CapacityPlan,
    CompetingJob,
    JobOrder,
    LargeJobBudget,
    QueueWork,
    order_jobs,
)

TICK_MS, DECISION_MS = 20, 200
# Estimates are wrong by a factor of up to e, in either direction.
MAX_LOG_ERROR = 1.0
MEAN_ERROR = math.sinh(MAX_LOG_ERROR) / MAX_LOG_ERROR
PATH = 1.7


class SimJob:
    """A job of equal tasks without order, each on one core."""

    def __init__(self, job_id, at_ms, *, customer, n_tasks, estimate_ms, rng):
        self.job_id = job_id
        self.at_ms = at_ms
        self.customer = customer
        self.estimate_ms = estimate_ms
        self.work = n_tasks * estimate_ms
        self.due_ms = at_ms + 2 * estimate_ms + 1500
        self.expiry_ms = at_ms + 3 * (self.due_ms - at_ms)
        errors = (rng.uniform(-MAX_LOG_ERROR, MAX_LOG_ERROR) for _ in range(n_tasks))
        self.waiting = [estimate_ms * math.exp(error) for error in errors]
        self.running = []
        self.started = []
        self.credit = 0.0
        self.is_large = False
        self.ended_ms = None

    @property
    def is_in_time(self):
        """Return whether it has finished in time."""
        return self.ended_ms is not None and self.ended_ms <= self.due_ms

    def running_ends(self, now_ms):
        """Return when its runs are expected to end."""
        expected_ms = MEAN_ERROR * self.estimate_ms
        begun = sorted(self.started)[-len(self.running) :] if self.running else []
        return [max(at + expected_ms, now_ms + 0.1 * expected_ms) for at in begun]

    def competing(self, now_ms):
        """Return what the leader knows about the job."""
        if not self.waiting or now_ms + 0.7 * self.estimate_ms > self.due_ms:
            return None
        path_ms = PATH * self.estimate_ms
        return CompetingJob(
            job_id=self.job_id,
            customer=self.customer,
            priority=0,
            due_ms=self.due_ms,
            path_ms=path_ms,
            waiting=len(self.waiting) * MEAN_ERROR * self.estimate_ms,
            credit=self.credit,
            is_large=self.is_large,
        )


def simulate(jobs, *, n_slots, is_ordered, admit=None, end_ms=None, weights=None):
    """Run jobs until `end_ms`; `n_slots` maps a time to the number of slots.

    `admit` is called with each arriving job, the active ones, their order and the time;
    a job is refused if it returns False.
    """
    jobs = sorted(jobs, key=lambda job: job.at_ms)
    queue, budget = QueueWork(), LargeJobBudget(0.1)
    active, last, n_arrived = [], JobOrder(), 0
    is_contended = False
    for now in range(0, end_ms or int(jobs[-1].expiry_ms), TICK_MS):
        while n_arrived < len(jobs) and jobs[n_arrived].at_ms <= now:
            job = jobs[n_arrived]
            n_arrived += 1
            queue.record(job.work)
            job.credit = queue.credit(job.work)
            job.is_large = queue.is_large(job.work)
            if admit is None or admit(job, active, last, now):
                active.append(job)
        for job in active:
            job.running = [end for end in job.running if end > now]
            if not job.running and not job.waiting:
                job.ended_ms = now
        active = [job for job in active if job.ended_ms is None]
        if is_ordered and now % DECISION_MS == 0:
            competing = [c for job in active if (c := job.competing(now))]
            busy = [(run - now, 1.0) for job in active for run in job.running_ends(now)]
            capacity = CapacityPlan([(0.0, 0.9 * n_slots(now))], busy)
            if is_contended:
                budget.update(competing, capacity, now)
            held = Counter()
            for job in active:
                held[job.customer] += len(job.running)
            last = order_jobs(
                competing,
                now_ms=now,
                capacity=capacity,
                held=held,
                weights=weights or {},
                protected=budget.protected,
            )
            is_contended = last.n_deferred > 0
        free = n_slots(now) - sum(len(job.running) for job in active)
        for job in sorted(active, key=lambda job: _rank(job, now, last)):
            while free > 0 and job.waiting:
                job.running.append(now + job.waiting.pop())
                job.started.append(now)
                free -= 1
    return jobs


def _rank(job, now, order):
    end_ms = now + (0.7 * job.estimate_ms if job.waiting else 0)
    band = 1 + (end_ms > job.due_ms) + (end_ms > job.expiry_ms)
    turn = order.turns.get(job.job_id)
    if turn is None:
        turn = order.new_turns.get(job.customer, 0)
    return band, turn if band == 1 else 0, job.due_ms


def arrivals(rates, *, until_ms, seed, from_ms=0):
    """Return jobs of customers; `rates` are the cores that each asks for on average."""
    rng = random.Random(seed)
    jobs = []
    for customer, cores in sorted(rates.items()):
        at_ms = from_ms
        while True:
            n_tasks = rng.choice((1, 1, 2, 2, 3, 4, 6, 8, 12, 30))
            estimate_ms = rng.uniform(150, 700)
            # Mean numbers of tasks and run times, and the mean error of estimates.
            at_ms += rng.expovariate(cores / (6.9 * 425 * MEAN_ERROR))
            if at_ms >= until_ms:
                break
            job_id = f"{customer}-{from_ms}-{len(jobs)}"
            options = {"n_tasks": n_tasks, "estimate_ms": estimate_ms, "rng": rng}
            jobs.append(SimJob(job_id, int(at_ms), customer=customer, **options))
    return jobs


def credit_share(jobs):
    """Return the credit earned in time, as a share of that of all jobs."""
    total = sum(job.credit for job in jobs)
    return sum(job.credit for job in jobs if job.is_in_time) / total


def in_time_share(jobs):
    """Return the share of the jobs that finished in time."""
    jobs = list(jobs)
    return sum(job.is_in_time for job in jobs) / len(jobs)
