"""The states of an endpoint, on one shared state machine."""

from transitions import Machine

__all__ = ["EndpointHealth"]

_STATES = ["unconfirmed", "serving", "ejected", "probing", "silent", "leaving"]
_KNOWN = ["unconfirmed", "serving", "ejected", "probing"]
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
    {"trigger": "lose", "source": [*_KNOWN, "leaving"], "dest": "silent"},
    {"trigger": "leave", "source": [*_KNOWN, "silent"], "dest": "leaving"},
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

    It is ``unconfirmed`` until it reports the current fencing token, then
    ``serving``. An endpoint that fails everything is ``ejected``, and ``probing``
    while one request tries it. One that was not heard is ``silent``.
    """

    state: str

    def __init__(self) -> None:
        _MACHINE.add_model(self)

    @property
    def takes_work(self) -> bool:
        """Whether any work may be given to it."""
        return self.state in ("serving", "probing")

    @property
    def is_confirmed(self) -> bool:
        """Whether its last report was complete for the current token."""
        return self.state in ("serving", "ejected", "probing")

    def forget(self) -> None:
        """Take it off the shared machine."""
        _MACHINE.remove_model(self)
