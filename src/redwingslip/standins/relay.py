"""Runs a TCP relay: ``python -m redwingslip.standins.relay``."""

import sys

from . import relay_main

if __name__ == "__main__":
    sys.exit(relay_main())
