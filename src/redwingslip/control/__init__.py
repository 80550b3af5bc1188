"""Control: the product's own HTTP interface for the operators of controllers."""

from ._calls import answer_operator, rules_out_earlier
from ._problems import error_answer, relay_error_answer
from ._server import control_app

__all__ = [
    "answer_operator",
    "control_app",
    "error_answer",
    "relay_error_answer",
    "rules_out_earlier",
]
