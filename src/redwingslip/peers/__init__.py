"""The links between the system's own processes and the messages on them."""

from ._messages import *  # noqa: F403
from ._messages import __all__  # noqa: F401
