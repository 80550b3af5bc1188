"""State that all commands share: servers, output format and error handling."""

import asyncio
import enum
import ipaddress
import os
import ssl
import sys
from collections.abc import Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlsplit

import msgspec
import typer

from ..exceptions import RedwingslipError
from ._client import ClientSettings, OperatorClient
from .exceptions import CommandError, ExitCode, InvalidInputError

__all__ = [
    "CommandContext",
    "OutputFormat",
    "exit_with_error",
    "parse_servers",
    "read_token_file",
    "run_coroutine",
]

TOKEN_VARIABLE = "REDWINGSLIP_TOKEN"

ValueT = TypeVar("ValueT")


class OutputFormat(enum.StrEnum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"


class CommandContext(msgspec.Struct, kw_only=True):
    """The options that precede the command.

    Attributes
    ----------
    servers : str
        Base URLs, separated by commas.
    token_file : Path or None
        File with the operator's token; None for the environment variable.
    authority : Path or None
        PEM file of the authorities that sign the servers' certificates; None for
        those that the operating system trusts.
    timeout : timedelta
        Longest time for one request, including all attempts.
    output : OutputFormat
        How results are printed.
    """

    servers: str = ""
    token_file: Path | None = None
    authority: Path | None = None
    timeout: timedelta = timedelta(seconds=40)
    output: OutputFormat = OutputFormat.TABLE

    @property
    def is_json(self) -> bool:
        """Whether the output is JSON."""
        return self.output is OutputFormat.JSON

    def client(self) -> OperatorClient:
        """Return a client of the servers.

        Raises
        ------
        InvalidInputError
            A server or the token is missing or malformed.
        """
        cfg = ClientSettings(
            servers=parse_servers(self.servers),
            token=_read_token(self.token_file),
            tls=_read_authority(self.authority),
            timeout=self.timeout,
        )
        for server in cfg.servers:
            _warn_if_unencrypted(server)
        return OperatorClient(cfg)


def parse_servers(text: str) -> tuple[str, ...]:
    """Return the base URLs in a text; raise `InvalidInputError` if one is wrong."""
    servers = tuple(url.strip().rstrip("/") for url in text.split(",") if url.strip())
    if not servers:
        raise InvalidInputError(
            "no server is given: use --server URL[,URL...] or set REDWINGSLIP_SERVER"
        )
    for server in servers:
        parts = urlsplit(server)
        if parts.scheme not in ("http", "https") or not parts.hostname or parts.path:
            raise InvalidInputError(
                f"--server: {server!r} is not a URL of the form https://10.0.0.1:8101"
            )
    return servers


def _read_token(path: Path | None) -> str:
    if path is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
        source = TOKEN_VARIABLE
    else:
        source = str(path)
        token = read_token_file(path)
    token = token.strip()
    if not token:
        raise InvalidInputError(
            f"no token is given: use --token-file FILE or set {TOKEN_VARIABLE}; there "
            "is no option for it, since other users can see the command line"
        )
    if not token.isascii() or not token.isprintable() or " " in token:
        raise InvalidInputError(
            f"the token in {source} is not one word of printable ASCII characters"
        )
    return token


def read_token_file(path: Path) -> str:
    """Return the token in a file.

    Raises
    ------
    InvalidInputError
        The file can't be read.
    """
    try:
        return path.read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise InvalidInputError(f"the token file can't be read: {exc}") from exc


def _read_authority(path: Path | None) -> ssl.SSLContext | None:
    if path is None:
        return None
    try:
        return ssl.create_default_context(cafile=str(path))
    except (OSError, ssl.SSLError) as exc:
        raise InvalidInputError(f"--authority {path}: {exc}") from exc


def _warn_if_unencrypted(server: str) -> None:
    parts = urlsplit(server)
    try:
        is_local = ipaddress.ip_address(parts.hostname or "").is_loopback
    except ValueError:
        is_local = parts.hostname == "localhost"
    if parts.scheme == "http" and not is_local:
        typer.echo(f"warning: the token is sent to {server} unencrypted", err=True)


def run_coroutine(ctx: typer.Context, coro: Coroutine[Any, Any, ValueT]) -> ValueT:
    """Run a command's coroutine; on an error, end the process with its exit code."""
    try:
        return asyncio.run(coro)
    except RedwingslipError as exc:
        exit_with_error(ctx, exc)
    except KeyboardInterrupt:
        raise typer.Exit(130) from None


def exit_with_error(ctx: typer.Context, exc: RedwingslipError) -> None:
    """Print an error and end the process with the exit code of its kind."""
    exit_code = getattr(exc, "exit_code", ExitCode.INTERNAL)
    if isinstance(exc, CommandError) or not isinstance(exc, ExceptionGroup):
        lines = str(exc)
    else:
        exit_code = ExitCode.INVALID
        lines = "\n".join(
            [exc.message, *(f"  {problem}" for problem in exc.exceptions)]
        )
    if ctx.obj is not None and ctx.obj.is_json:
        error = {"error": lines, "kind": exit_code.name.lower().replace("_", "-")}
        lines = msgspec.json.encode(error).decode()
    else:
        lines = f"error: {lines}"
    print(lines, file=sys.stderr)
    raise typer.Exit(exit_code)
