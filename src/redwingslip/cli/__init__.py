"""The command line: starts the daemons and runs the operators' commands."""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Run the command named by the process's arguments."""
    # By default the signal ends the process; a daemon handles it once it has started.
    hangup = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ._roles import ROLES
    from ._roles import main as run_role

    if len(sys.argv) > 1 and sys.argv[1] in ROLES:
        sys.exit(run_role(sys.argv[1:]))
    signal.signal(signal.SIGHUP, hangup)
    from ._app import app

    app()
