"""Run a daemon from a source checkout, without an installed package.

The first argument is the role. The platform sets ``REDWINGSLIP_SETTINGS`` to the path
of the settings file.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from redwingslip.cli import main

if __name__ == "__main__":
    sys.argv = ["redwingslip", sys.argv[1], os.environ["REDWINGSLIP_SETTINGS"]]
    main()
