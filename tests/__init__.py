"""Tests of redwingslip; the stateful ones draw their cases from a fixed seed."""

import os
from datetime import timedelta

from hypothesis import HealthCheck, settings

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
settings.load_profile("long" if "REDWINGSLIP_FUZZ_SEED" in os.environ else "quick")

SECOND = timedelta(seconds=1)
