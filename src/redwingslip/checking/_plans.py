"""Checks of the configuration that the platform's operators send."""

import re
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from ..jobs import Customer, InvalidPlanError, Plan, Queue, find_plan_errors
from ..platform import PLAN_SECTIONS, DocumentError, parse_plan
from ._findings import Change, Finding, Severity

__all__ = ["check_plan_document", "plan_changes"]

# What to do about an error, by the beginning of its reason.
_FIXES = {
    "unknown pool": "name a declared one, or declare it",
    "another queue has the same host": "give one of them another prefix, or remove it",
    "another queue has the same name": "rename or remove one of them",
    "the weight must": "set a positive weight",
    "a key belongs": "remove the key from one of the two",
}
_UNUSABLE_IN_PATH = re.compile(r"[\s?#]")


def check_plan_document(
    body: bytes, *, current: Plan | None = None
) -> tuple[list[Finding], Plan | None]:
    """Check a configuration.

    Parameters
    ----------
    body : bytes
        The document.
    current : Plan or None
        The version in force, if it is known.

    Returns
    -------
    tuple of list of Finding, Plan or None
        The findings, and the plan; None if the document can't be decoded.
    """
    try:
        plan = parse_plan(body)
    except DocumentError as exc:
        fix = "correct the field; the servers refuse the document"
        finding = Finding(
            severity=Severity.ERROR, place="document", problem=str(exc), fix=fix
        )
        return [finding], None
    places = _Places(body.decode("utf-8", "replace"))
    findings = [_error_finding(error, places) for error in find_plan_errors(plan)]
    findings += _find_unreached_queues(plan, places)
    findings += _find_unused_entries(plan, places)
    findings += _find_missed_deadlines(plan, places)
    if current is not None and plan.version <= current.version:
        findings.append(
            _warning(
                "version",
                f"version {plan.version} is not above version {current.version}, "
                "which is in force, and has no effect",
                f"set it to {current.version + 1} or more",
            )
        )
    return findings, plan


class _Places:
    """Finds the lines of a document in which entries are declared."""

    def __init__(self, text: str) -> None:
        self._text = text

    def find(self, kind: str, name: str) -> str:
        """Return the section and name of an entry, with its line if it is found."""
        section = PLAN_SECTIONS[kind]
        begin = self._text.find(f'"{section}"')
        quoted = re.escape(msgspec.json.encode(name).decode())
        match = re.compile(rf'"name"\s*:\s*{quoted}').search(self._text, max(0, begin))
        place = f"{section}.{name}"
        if match is None:
            return place
        return f"{place}, line {self._text.count(chr(10), 0, match.start()) + 1}"


def _warning(place: str, problem: str, fix: str) -> Finding:
    return Finding(severity=Severity.WARNING, place=place, problem=problem, fix=fix)


def _error_finding(error: InvalidPlanError, places: _Places) -> Finding:
    kind, _, name = error.field.partition(" ")
    fix = next(fix for start, fix in _FIXES.items() if error.detail.startswith(start))
    return Finding(
        severity=Severity.ERROR,
        place=places.find(kind, name),
        problem=error.detail,
        fix=fix,
    )


def _find_unreached_queues(plan: Plan, places: _Places) -> Iterator[Finding]:
    """Yield findings for queues that no call reaches, or fewer than may be meant."""
    has_keys = any(customer.keys for customer in plan.customers)
    for queue in plan.queues:
        place = places.find("queue", queue.name)
        prefix = queue.path_prefix
        if not prefix.startswith("/") or _UNUSABLE_IN_PATH.search(prefix):
            yield _warning(
                place,
                f"the path prefix {prefix!r} matches no path",
                "begin it with '/' and leave out spaces, '?' and '#'",
            )
        if not queue.host or re.search(r"[\s/]", queue.host):
            yield _warning(
                place,
                f"no call has the host {queue.host!r}",
                "give the host as callers send it, without scheme and path",
            )
        if not queue.is_public and not has_keys:
            yield _warning(
                place,
                "it needs a key, and no customer has one",
                "give a customer a key, or make the queue public",
            )
        other = _cut_prefix(queue, plan)
        if other is not None:
            yield _warning(
                places.find("queue", other.name),
                f"its prefix {other.path_prefix!r} also begins {prefix!r} of "
                f"{queue.name}, which takes the calls there",
                "end the prefix with '/'",
            )


def _cut_prefix(queue: Queue, plan: Plan) -> Queue | None:
    """Return a queue whose prefix ends within a part of a queue's path, or None."""
    for other in plan.queues:
        prefix = other.path_prefix
        is_cut = queue.path_prefix.startswith(prefix) and prefix[-1:] != "/"
        rest = queue.path_prefix[len(prefix) :]
        if is_cut and other.host == queue.host and rest and rest[0] != "/":
            return other
    return None


def _find_unused_entries(plan: Plan, places: _Places) -> Iterator[Finding]:
    """Yield findings for pools and customers that no call uses."""
    used = {queue.pool for queue in plan.queues}
    standby = {pool.name for pool in plan.pools if pool.is_standby}
    for queue in plan.queues:
        if queue.pool in standby:
            yield _warning(
                places.find("queue", queue.name),
                f"its pool {queue.pool} is a standby pool, whose VMs are switched off",
                "name a pool that serves",
            )
    for name, count in Counter(pool.name for pool in plan.pools).items():
        place = places.find("pool", name)
        if count > 1:
            yield _warning(place, f"it is declared {count} times", "remove all but one")
        if name not in used and name not in standby:
            yield _warning(
                place, "no queue uses this pool", "add a queue or remove the pool"
            )
    for name, count in Counter(customer.name for customer in plan.customers).items():
        if count > 1:
            yield _warning(
                places.find("customer", name),
                f"it is declared {count} times",
                "remove all but one",
            )
    for customer in plan.customers:
        if not customer.keys:
            yield _warning(
                places.find("customer", customer.name),
                "without a key, no call is accounted to this customer",
                "give it a key or remove it",
            )


def _find_missed_deadlines(plan: Plan, places: _Places) -> Iterator[Finding]:
    """Yield findings for queues whose deadlines are shorter than the runs."""
    for queue in plan.queues:
        if queue.stretch >= 1:
            continue
        problem = "each job is due before its run can end"
        if queue.target_latency_ms:
            longest_ms = queue.target_latency_ms / (1 - queue.stretch)
            problem = f"a job that runs for over {longest_ms:.0f} ms can't end in time"
        yield _warning(
            places.find("queue", queue.name),
            f"{problem}, as the stretch is {queue.stretch:g}",
            "set a stretch of at least 1",
        )


def plan_changes(current: Plan, wanted: Plan) -> list[Change]:
    """Return what differs in meaning between two plans; keys are only counted."""
    changes: list[Change] = []
    sections = (
        ("queue", current.queues, wanted.queues),
        ("pool", current.pools, wanted.pools),
        ("customer", current.customers, wanted.customers),
    )
    for kind, old_entries, new_entries in sections:
        old = {entry.name: _fields(entry) for entry in old_entries}
        new = {entry.name: _fields(entry) for entry in new_entries}
        for name in dict.fromkeys((*old, *new)):
            changes += _entry_changes(kind, name, old.get(name), new.get(name))
    return changes


def _entry_changes(
    kind: str, name: str, old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> Iterator[Change]:
    if old is None or new is None:
        yield Change(kind=kind, name=name, current=_shown(old), wanted=_shown(new))
        return
    for field in old:
        if old[field] != new[field]:
            before, after = old[field], new[field]
            if field == "keys":
                n_removed, n_added = len(before - after), len(after - before)
                before, after = f"{n_removed} removed", f"{n_added} added"
            yield Change(
                kind=kind, name=name, field=field, current=before, wanted=after
            )


def _shown(fields: Mapping[str, Any] | None) -> dict[str, Any] | None:
    """Return the fields of an entry as they are shown, without keys."""
    if fields is None:
        return None
    keys = {"keys": len(fields["keys"])} if "keys" in fields else {}
    return {**fields, **keys}


def _fields(entry: msgspec.Struct) -> dict[str, Any]:
    """Return the fields of an entry, except its name."""
    fields = msgspec.to_builtins(entry)
    del fields["name"]
    if isinstance(entry, Customer):
        fields["keys"] = frozenset(entry.keys)
    return fields
