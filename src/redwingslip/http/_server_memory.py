"""What the HTTP servers of one process share: memory, and turns of the processor."""

import resource
from collections.abc import Callable

from ..clock import Clock, SystemClock
from ._body_budget import BodyBudget, RefusalCause
from ._connection_table import ConnectionTable
from ._input_turns import InputTurns
from ._limits import HttpLimits
from ._machine_memory import machine_memory_bytes

__all__ = ["CONNECTION_BYTES", "ServerMemory"]

# A gateway's machine has 200 MB, of which the idle process takes 55 MB. An eighth for
# bodies and a quarter for connections leave room for the copies that are made while
# bodies are relayed.
BODY_FRACTION = 1 / 8
CONNECTION_FRACTION = 1 / 4
# More is of no use: an ordinary body has a few kB.
MAX_DEFAULT_BODY_BYTES = 256 << 20
# The default holds at least this many bodies of the largest size.
MIN_DEFAULT_BODIES = 2
# What a connection can hold: objects of the protocol, an incomplete head, a read that
# follows a complete request, and an answer below the limit at which writing pauses.
# TLS adds the buffers of one direction each.
CONNECTION_BYTES = 64 << 10
TLS_CONNECTION_BYTES = 384 << 10
# Descriptors are also needed for links, the log and calls of VMs.
DESCRIPTOR_FRACTION = 1 / 2


class ServerMemory:
    """One budget for bodies and one for connections, for all servers of a process.

    The connections also share the turns in which their input is processed.

    Parameters
    ----------
    cfg : HttpLimits
        The limits; a size without a value is a fraction of the machine's memory.
    is_encrypted : bool
        Whether the servers use TLS.
    machine_bytes : int or None
        Memory that the process may use; by default it is read from the system.
    clock : Clock or None
        The system clock by default.

    Attributes
    ----------
    bodies : BodyBudget
        The bytes of bodies.
    connections : ConnectionTable
        The open connections.
    turns : InputTurns
        The order in which input is processed.
    """

    __slots__ = ("bodies", "connections", "turns")

    def __init__(
        self,
        cfg: HttpLimits,
        *,
        is_encrypted: bool = False,
        machine_bytes: int | None = None,
        clock: Clock | None = None,
    ) -> None:
        if machine_bytes is None:
            machine_bytes = machine_memory_bytes()
        clock = clock or SystemClock()
        self.bodies = BodyBudget(
            max_bytes=_max_body_bytes(cfg, machine_bytes),
            max_body_bytes=cfg.max_body_bytes,
            stall=cfg.body_stall,
            clock=clock,
        )
        self.connections = ConnectionTable(
            _max_connections(cfg, machine_bytes, is_encrypted=is_encrypted), clock
        )
        self.turns = InputTurns(clock)

    def observe(
        self,
        *,
        on_refusal: Callable[[RefusalCause], None],
        on_usage: Callable[[int], None],
    ) -> None:
        """Report refusals with their causes, and the bytes of bodies in use."""
        self.bodies.on_refusal = on_refusal
        self.bodies.on_usage = on_usage
        self.connections.on_refusal = on_refusal


def _max_body_bytes(cfg: HttpLimits, machine_bytes: int) -> int:
    if cfg.max_total_body_bytes is not None:
        return cfg.max_total_body_bytes
    share = min(int(machine_bytes * BODY_FRACTION), MAX_DEFAULT_BODY_BYTES)
    return max(share, MIN_DEFAULT_BODIES * cfg.max_body_bytes)


def _max_connections(cfg: HttpLimits, machine_bytes: int, *, is_encrypted: bool) -> int:
    n_bytes = cfg.max_connection_bytes
    if n_bytes is None:
        n_bytes = int(machine_bytes * CONNECTION_FRACTION)
    each = TLS_CONNECTION_BYTES if is_encrypted else CONNECTION_BYTES
    limits = [cfg.max_connections, n_bytes // each]
    n_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if n_descriptors != resource.RLIM_INFINITY:
        limits.append(int(n_descriptors * DESCRIPTOR_FRACTION))
    return max(1, min(limits))
