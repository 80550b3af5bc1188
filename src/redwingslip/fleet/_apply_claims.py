"""How the commands on claims apply."""

from ._commands import Claim, ForgetClaims, SettleClaim
from ._outcomes import NotAdmitted, Outcome
from ._tables import Tables, apply_command


@apply_command.register
def _(cmd: Claim, tables: Tables) -> Outcome:
    taken = tables.claims.find(cmd)
    if taken is not None:
        return taken
    if tables.claims.is_forgotten(cmd):
        return NotAdmitted(reason="the request id is too old")
    entry = tables.view.entries.get(cmd.entry_id)
    if entry is None or entry.incarnation != cmd.incarnation:
        return NotAdmitted(reason="the entry is not registered")
    tables.claims.open(cmd)
    return tables.accepted()


@apply_command.register
def _(cmd: SettleClaim, tables: Tables) -> Outcome:
    if not tables.claims.settle(cmd):
        return NotAdmitted(reason="no such claim, or it has another outcome")
    return tables.accepted()


@apply_command.register
def _(cmd: ForgetClaims, tables: Tables) -> Outcome:
    tables.claims.forget(cmd.before)
    return tables.accepted()
