"""TLS contexts for the connections between processes."""

import ssl
from collections.abc import Callable

import msgspec

from ._sections import TlsSettings
from .exceptions import InvalidSettingsError, SettingsError

__all__ = ["TlsContexts", "load_tls"]

ALPN_PROTOCOLS = ["h2"]
SECTION = "tls"


class TlsContexts(msgspec.Struct, frozen=True, kw_only=True):
    """Contexts for both ends of a mutually authenticated connection.

    Attributes
    ----------
    server : ssl.SSLContext
        For incoming connections.
    client : ssl.SSLContext
        For outgoing connections; the server's certificate must name the IP address
        that this process connects to.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext


def load_tls(cfg: TlsSettings) -> TlsContexts | None:
    """Return the TLS contexts, or None if encryption is disabled.

    Raises
    ------
    InvalidSettingsError
        Names each option whose files can't be used.
    """
    if not cfg.enabled:
        return None
    problems: list[SettingsError] = []
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(ALPN_PROTOCOLS)

    def load_certificate(context: ssl.SSLContext) -> None:
        context.load_cert_chain(cfg.certificate, cfg.key)

    def load_authority(context: ssl.SSLContext) -> None:
        context.load_verify_locations(cafile=cfg.authority)

    _try_load(
        "certificate",
        f"{cfg.certificate}, {cfg.key}",
        load_certificate,
        server,
        problems,
    )
    _try_load("authority", str(cfg.authority), load_authority, server, problems)
    if problems:
        raise InvalidSettingsError("TLS can't be set up", problems)
    load_certificate(client)
    load_authority(client)
    return TlsContexts(server=server, client=client)


def _try_load(
    option: str,
    value: str,
    load: Callable[[ssl.SSLContext], None],
    context: ssl.SSLContext,
    problems: list[SettingsError],
) -> None:
    try:
        load(context)
    except (OSError, TypeError) as exc:
        problems.append(
            SettingsError(
                section=SECTION,
                option=option,
                value=value,
                allowed=f"must be readable, matching PEM files: {exc}",
            )
        )
