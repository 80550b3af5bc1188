"""The health states of an endpoint, on one shared state machine."""

from transitions import Machine

__all__ = ["EndpointHealth"]

_STATES = ["unconfirmed", "serving", "ejected", "probing", "silent", "leaving"]
# The states of a responsive endpoint that is not leaving.
_ACTIVE_STATES = ["unconfirmed", "serving", "ejected", "probing"]
_TRANSITIONS = [
    {"trigger": "confirm", "source": ["unconfirmed"], "dest": "serving"},
    {
        "trigger": "unconfirm",
        "source": ["serving", "ejected", "probing", "silent", "leaving"],
        "dest": "unconfirmed",
    },
    {
        "trigger": "eject",
        "source": ["unconfirmed", "serving", "probing"],
        "dest": "ejected",
    },
    {"trigger": "probe", "source": ["ejected"], "dest": "probing"},
    {"trigger": "recover", "source": ["probing"], "dest": "serving"},
    {"trigger": "lose", "source": [*_ACTIVE_STATES, "leaving"], "dest": "silent"},
    {"trigger": "leave", "source": [*_ACTIVE_STATES, "silent"], "dest": "leaving"},
]

_MACHINE = Machine(
    model=None,
    states=_STATES,
    transitions=_TRANSITIONS,
    initial="unconfirmed",
    auto_transitions=False,
)


class EndpointHealth:
    """Whether an endpoint may take work.

    An endpoint is ``unconfirmed`` until it reports the current fencing token, then
    ``serving``. An endpoint whose calls all fail is ``ejected``, and ``probing`` while
    it is tried with one request at a time. An unresponsive endpoint is ``silent``, and
    one that has reported that it is leaving is ``leaving``.
    """

    state: str

    def __init__(self) -> None:
        _MACHINE.add_model(self)

    @property
    def takes_work(self) -> bool:
        """Whether the endpoint may get new tasks."""
        return self.state in ("serving", "probing")

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint has confirmed the current fencing token."""
        return self.state in ("serving", "ejected", "probing")

    def forget(self) -> None:
        """Remove this model from the shared state machine."""
        _MACHINE.remove_model(self)
