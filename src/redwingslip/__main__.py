"""Entry point of ``python -m redwingslip``."""

from .cli import main

if __name__ == "__main__":
    main()
