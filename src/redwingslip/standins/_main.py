"""Command lines of the stand-ins."""

import argparse
import asyncio
import signal
from collections import defaultdict
from collections.abc import Sequence
from datetime import timedelta

from ..clock import SystemClock
from ._announcer import AnnouncerSettings
from ._endpoint import EndpointSettings, EndpointStandin
from ._platform import PlatformStandin
from ._record import RunRecorder
from ._relay import RelayMode, TcpRelay
from ._work import Mode

__all__ = ["endpoint_main", "relay_main"]


def endpoint_main(argv: Sequence[str] | None = None) -> int:
    """Run endpoints, and a platform that reboots their VMs, until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="redwingslip.standins.endpoint")
    parser.add_argument("--entry", action="append", default=[], metavar="HOST:PORT")
    parser.add_argument("--token", default="")
    parser.add_argument("--record", default="", metavar="FILE")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--mode", type=Mode, default=Mode.OK, choices=list(Mode))
    parser.add_argument(
        "--endpoint",
        action="append",
        required=True,
        metavar="ID,SERVICE,VM,SLOTS[,PORT]",
    )
    parser.add_argument("--platform-port", type=int, metavar="PORT")
    parser.add_argument("--reboot-s", type=float, default=1.0, metavar="SECONDS")
    args = parser.parse_args(argv)
    asyncio.run(_run_endpoints(args))
    return 0


def relay_main(argv: Sequence[str] | None = None) -> int:
    """Relay connections until SIGTERM or SIGINT; SIGUSR1 freezes the open ones."""
    parser = argparse.ArgumentParser(prog="redwingslip.standins.relay")
    parser.add_argument("--target", required=True, metavar="HOST:PORT")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args(argv)
    asyncio.run(_run_relay(args))
    return 0


def _parse_endpoint(args: argparse.Namespace, text: str) -> EndpointSettings:
    """Return the settings of an endpoint from the value of ``--endpoint``."""
    endpoint_id, service, vm, slots, *port = text.split(",")
    announcer = AnnouncerSettings(entries=tuple(args.entry), token=args.token)
    return EndpointSettings(
        endpoint_id=endpoint_id,
        service=service,
        vm=vm,
        slots=int(slots),
        host=args.host,
        port=int(port[0]) if port else 0,
        mode=args.mode,
        announcer=announcer,
    )


async def _run_endpoints(args: argparse.Namespace) -> None:
    clock = SystemClock()
    recorder = RunRecorder(args.record)
    endpoints_by_vm: dict[str, list[EndpointStandin]] = defaultdict(list)
    for text in args.endpoint:
        cfg = _parse_endpoint(args, text)
        endpoint = EndpointStandin(cfg, clock, recorder)
        endpoints_by_vm[cfg.vm].append(endpoint)
    endpoints = [endpoint for group in endpoints_by_vm.values() for endpoint in group]
    platform = None
    for endpoint in endpoints:
        await endpoint.start()
        print(_describe_endpoint(endpoint), flush=True)
    if args.platform_port is not None:
        platform = PlatformStandin(
            endpoints_by_vm,
            reboot_time=timedelta(seconds=args.reboot_s),
            host=args.host,
            port=args.platform_port,
        )
        await platform.start()
        print(f"platform {platform.address}", flush=True)
    await _wait_for_stop()
    if platform is not None:
        await platform.stop()
    await asyncio.gather(*(endpoint.stop() for endpoint in endpoints))
    recorder.close()


async def _run_relay(args: argparse.Namespace) -> None:
    relay = TcpRelay(args.target, host=args.host, port=args.port)
    await relay.start()
    print(f"relay {relay.address}", flush=True)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, relay.set_mode_of_open, RelayMode.FREEZE)
    await _wait_for_stop()
    await relay.stop()


async def _wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    await stopped.wait()


def _describe_endpoint(endpoint: EndpointStandin) -> str:
    """Return an endpoint's id, address and incarnation as one line."""
    return f"{endpoint.cfg.endpoint_id} {endpoint.address} {endpoint.incarnation}"
