"""The JSON form in which operators read and write resources."""

from functools import singledispatch
from typing import Any

import msgspec

from ..decoding import Whole
from ..fleet import (
    FleetView,
    KeySpec,
    Kind,
    PoolSpec,
    QueueSpec,
    Resource,
    SiteSpec,
    Spec,
    TeamSpec,
    VmSpec,
    WaveRecord,
    WaveSpec,
    kind_of,
)
from ..http import FieldError, strict_convert

__all__ = ["ResourceRecord", "parse_record", "record_of", "status_of"]

N_HASH_DIGITS_SHOWN = 8

SPEC_TYPES: dict[Kind, type] = {
    Kind.POOL: PoolSpec,
    Kind.VM: VmSpec,
    Kind.TEAM: TeamSpec,
    Kind.KEY: KeySpec,
    Kind.QUEUE: QueueSpec,
    Kind.WAVE: WaveSpec,
    Kind.SITE: SiteSpec,
}


class ResourceRecord(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A resource, in the form that is read and may be written back.

    Attributes
    ----------
    spec : dict
        The desired state.
    version : int or None
        The version of the resource. In a write, the version that must be the current
        one, as with ``If-Match``.
    status : dict
        The actual state in the fleet; ignored in a write.
    in_force : bool
        Whether every entry acts on this version; ignored in a write.
    """

    spec: dict[str, Any]
    kind: str = ""
    name: str = ""
    version: Whole | None = None
    status: dict[str, Any] = {}
    in_force: bool = False


def record_of(
    resource: Resource, view: FleetView, in_force_index: int
) -> ResourceRecord:
    """Return the record of a resource.

    Parameters
    ----------
    in_force_index : int
        Log index up to which all changes are in force on every entry.
    """
    return ResourceRecord(
        kind=kind_of(resource.spec),
        name=resource.name,
        version=resource.version,
        spec=_shown_spec(resource.spec),
        status=status_of(resource.spec, resource.name, view),
        in_force=resource.version <= in_force_index,
    )


def parse_record(body: object, kind: Kind, name: str) -> tuple[Spec, int | None]:
    """Return the specification in a request body, and the version it is based on.

    Raises
    ------
    FieldError
        A field of the body is not valid for the kind; the error names the field.
    """
    record = strict_convert(body, ResourceRecord)
    if record.kind not in ("", kind):
        raise FieldError("kind", f"must be {str(kind)!r} as in the path")
    if record.name not in ("", name):
        raise FieldError("name", f"must be {name!r} as in the path")
    spec = strict_convert(record.spec, SPEC_TYPES[kind], field="spec")
    return spec, record.version


def _shown_spec(spec: Spec) -> dict[str, Any]:
    """Return the fields of a specification, with the hash of a key shortened."""
    fields = msgspec.to_builtins(spec)
    del fields[type(spec).__struct_config__.tag_field]
    if isinstance(spec, KeySpec):
        fields["sha256"] = f"{spec.sha256[:N_HASH_DIGITS_SHOWN]}..."
    return fields


@singledispatch
def status_of(spec: Spec, name: str, view: FleetView) -> dict[str, Any]:
    """Return the actual state of a resource in the fleet."""
    return {}


@status_of.register
def _(spec: PoolSpec, name: str, view: FleetView) -> dict[str, Any]:
    vms = view.vms_of(name)
    lease = view.dispatchers.get(name)
    return {
        "n_vms": len(vms),
        "n_available": sum(vm.is_available for vm in vms),
        "dispatcher": "" if lease is None else lease.entry_id,
    }


@status_of.register
def _(spec: VmSpec, name: str, view: FleetView) -> dict[str, Any]:
    vm = view.vms.get(name)
    if vm is None:
        return {}
    return {
        "pool": vm.pool,
        "phase": vm.phase,
        "health": vm.health,
        "move_to": vm.move_to,
        "wave": vm.wave,
    }


@status_of.register
def _(spec: TeamSpec, name: str, view: FleetView) -> dict[str, Any]:
    return {"limit": spec.limit, "allotted": view.allotted(name)}


@status_of.register
def _(spec: WaveSpec, name: str, view: FleetView) -> dict[str, Any]:
    wave = view.waves.get(name)
    if wave is None:
        return {}
    return {
        "pending": [vm.name for vm in view.pending_vms(name)],
        "active": [vm.name for vm in view.active_vms(name)],
        "n_done": wave.n_done,
        "n_skipped": wave.n_skipped,
        "state": _wave_state(spec, wave),
    }


def _wave_state(spec: WaveSpec, wave: WaveRecord) -> str:
    if wave.is_done:
        return "done"
    return "paused" if spec.paused else "running"
