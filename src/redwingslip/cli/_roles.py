"""Starting the daemons without importing the operators' commands.

A replica has little memory. This module therefore parses its arguments itself, so that
neither the command line library nor the code of another role is imported.
"""

import sys
from collections.abc import Sequence
from pathlib import Path

from ..exceptions import RedwingslipError
from ..settings import InvalidSettingsError

__all__ = ["ROLES", "main"]

EXIT_FAILED = 1
EXIT_INVALID = 3

ROLES = {
    "entry": "run an entry daemon",
    "replica": "run a replica daemon",
    "replica-init": "create the data folder of a new replica; run it once",
    "gateway": "run a gateway daemon, which accepts jobs for the controllers",
    "controller": "run a controller daemon, which schedules jobs",
}


def main(argv: Sequence[str]) -> int:
    """Run a role and return the exit code."""
    role, path = _parse(argv)
    try:
        _RUNNERS[role](path)
    except InvalidSettingsError as exc:
        print(f"error: {exc.message}", file=sys.stderr)
        for problem in exc.exceptions:
            print(f"  {problem}", file=sys.stderr)
        return EXIT_INVALID
    except (RedwingslipError, OSError) as exc:
        print(f"error: {exc}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def _parse(argv: Sequence[str]) -> tuple[str, Path]:
    """Return the role and the path of its settings file."""
    if len(argv) == 2 and argv[0] in ROLES and not argv[1].startswith("-"):
        return argv[0], Path(argv[1])
    # Imported only for help and invalid arguments, since it uses memory.
    import argparse

    parser = argparse.ArgumentParser(prog="redwingslip")
    roles = parser.add_subparsers(dest="role", required=True)
    for role, description in ROLES.items():
        role_parser = roles.add_parser(role, help=description, description=description)
        role_parser.add_argument("settings", type=Path, help="the settings file")
    args = parser.parse_args(argv)
    return args.role, args.settings


def _run_entry(path: Path) -> None:
    from ..daemons import run_entry

    run_entry(path)


def _run_replica(path: Path) -> None:
    from ..daemons import run_replica

    run_replica(path)


def _bootstrap_replica(path: Path) -> None:
    from ..settings import ReplicaSettings, load_settings

    cfg = load_settings(path, ReplicaSettings)
    from ..consensus import bootstrap_data_folder

    bootstrap_data_folder(cfg.replica.data_folder, cfg.process.id)
    print(f"created {cfg.replica.data_folder} for {cfg.process.id}")


def _run_gateway(path: Path) -> None:
    from ..daemons import run_gateway

    run_gateway(path)


def _run_controller(path: Path) -> None:
    from ..daemons import run_controller

    run_controller(path)


_RUNNERS = {
    "entry": _run_entry,
    "replica": _run_replica,
    "replica-init": _bootstrap_replica,
    "gateway": _run_gateway,
    "controller": _run_controller,
}
