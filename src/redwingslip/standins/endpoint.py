"""Runs stand-in endpoints: ``python -m redwingslip.standins.endpoint``."""

import sys

from . import endpoint_main

if __name__ == "__main__":
    sys.exit(endpoint_main())
