"""The command line: starts the daemons and runs the operators' commands."""

import sys

__all__ = ["main"]


def main() -> None:
    """Run the command named by the process's arguments."""
    from ._roles import ROLES
    from ._roles import main as run_role

    if len(sys.argv) > 1 and sys.argv[1] in ROLES:
        sys.exit(run_role(sys.argv[1:]))
    from ._app import app

    app()
