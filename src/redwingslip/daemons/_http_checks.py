"""Checks of settings that involve the limits of several options."""

from collections.abc import Iterator

from ..http import CONNECTION_BYTES, HttpLimits
from ..settings import SettingsError, find_problems

__all__ = ["shared_addresses"]


@find_problems.register
def _(cfg: HttpLimits, section: str) -> Iterator[SettingsError]:
    total = cfg.max_total_body_bytes
    if total is not None and total < cfg.max_body_bytes:
        yield SettingsError(
            section=section,
            option="max_total_body_bytes",
            value=f"{total} B",
            allowed=f"at least max_body_bytes, {cfg.max_body_bytes} B, or none",
        )
    connections = cfg.max_connection_bytes
    if connections is not None and connections < CONNECTION_BYTES:
        yield SettingsError(
            section=section,
            option="max_connection_bytes",
            value=f"{connections} B",
            allowed=f"at least {CONNECTION_BYTES} B, which one connection may use, "
            "or none",
        )


def shared_addresses(
    addresses: Iterator[tuple[str, str, str | None]],
) -> Iterator[SettingsError]:
    """Yield a problem for each address of a process that it is to listen on twice.

    Parameters
    ----------
    addresses : iterator of tuple
        Section, option and address, None for no address.
    """
    seen: dict[str, str] = {}
    for section, option, address in addresses:
        # Port 0 stands for any free one.
        if address is None or address.endswith(":0"):
            continue
        first = seen.setdefault(address, f"[{section}] {option}")
        if first != f"[{section}] {option}":
            yield SettingsError(
                section=section,
                option=option,
                value=address,
                allowed=f"another address than that of {first}",
            )
