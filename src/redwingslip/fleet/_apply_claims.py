"""Handlers of the commands on claims."""

from ._commands import Claim, ForgetClaims, SettleClaim
from ._outcomes import NotAdmitted, Outcome
from ._tables import Tables, apply_command


@apply_command.register
def _(cmd: Claim, tables: Tables) -> Outcome:
    refusal = tables.claims.find_refusal(cmd)
    if refusal is not None:
        return refusal
    if tables.claims.is_forgotten(cmd):
        return NotAdmitted(reason="the request id is too old")
    entry = tables.view.entries.get(cmd.entry_id)
    if entry is None or entry.incarnation != cmd.incarnation:
        return NotAdmitted(reason="the entry is not registered with this incarnation")
    tables.claims.open(cmd)
    return tables.accepted()


@apply_command.register
def _(cmd: SettleClaim, tables: Tables) -> Outcome:
    if not tables.claims.settle(cmd):
        return NotAdmitted(reason="the claim does not exist or has another outcome")
    return tables.accepted()


@apply_command.register
def _(cmd: ForgetClaims, tables: Tables) -> Outcome:
    tables.claims.forget(cmd.before)
    return tables.accepted()
