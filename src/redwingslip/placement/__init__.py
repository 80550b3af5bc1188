"""Placement: which waiting task starts on which VM, as a function without I/O."""

from ._placer import Placer
from ._view import PoolRoom, Urgency, VmRoom, WaitingTask

__all__ = ["Placer", "PoolRoom", "Urgency", "VmRoom", "WaitingTask"]
