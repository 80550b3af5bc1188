"""Tests of redwingslip.

Hypothesis tests draw their cases deterministically, unless ``REDWINGSLIP_FUZZ_SEED``
selects the long fuzzing with that seed.
"""

import os
from datetime import timedelta

from hypothesis import HealthCheck, core, settings

_COMMON = {
    "deadline": None,
    "database": None,
    "suppress_health_check": list(HealthCheck),
    "print_blob": True,
}

settings.register_profile(
    "quick", derandomize=True, max_examples=60, stateful_step_count=40, **_COMMON
)
settings.register_profile(
    "long", derandomize=False, max_examples=2_000, stateful_step_count=120, **_COMMON
)
SEED = os.environ.get("REDWINGSLIP_FUZZ_SEED")
settings.load_profile("quick" if SEED is None else "long")
if SEED is not None:
    # State machine tests have no function that `hypothesis.seed` could decorate, so the
    # seed is set globally.
    core.global_force_seed = int(SEED)

SECOND = timedelta(seconds=1)
