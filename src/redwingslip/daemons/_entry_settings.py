"""Settings of the entry daemon, including those of its components."""

from ..dispatch import DispatchSettings
from ..http import ClientLimits, HttpLimits
from ..peers import PeerSettings
from ..settings import EntrySettings
from . import _http_checks  # noqa: F401 -- registers the checks of `HttpLimits`

__all__ = ["EntryDaemonSettings"]


class EntryDaemonSettings(EntrySettings, frozen=True, kw_only=True):
    """Settings of an entry daemon."""

    dispatch: DispatchSettings = DispatchSettings()
    http_limits: HttpLimits = HttpLimits()
    endpoint_calls: ClientLimits = ClientLimits()
    links: PeerSettings = PeerSettings()
