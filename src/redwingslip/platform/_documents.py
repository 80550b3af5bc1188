"""The platform's documents, and their decoding into the product's types."""

from typing import Annotated, Any

import msgspec

from ..decoding import (
    MAX_WHOLE,
    Amount,
    Figure,
    UndecodableError,
    Whole,
    decode_document,
    map_in_turns,
)
from ..http import is_address
from ..jobs import (
    Amounts,
    Customer,
    InvalidJobError,
    InvalidPlanError,
    JobSpec,
    Plan,
    Pool,
    Queue,
    Repetition,
    StepSpec,
    VmRecord,
    check_plan,
    check_steps,
)
from .exceptions import DocumentError

__all__ = [
    "WaveOrder",
    "WorkerReport",
    "decode_deregistration",
    "decode_job",
    "decode_plan",
    "decode_report",
    "decode_wave",
    "PLAN_SECTIONS",
    "parse_plan",
]

# The section of a configuration that declares each kind of entry of a plan.
PLAN_SECTIONS = {"queue": "routes", "pool": "services", "customer": "tenants"}

MAX_PAYLOAD_BYTES = 4_000
# A hundred years, which the log can add to any time.
MAX_WAVE_S = 100 * 366 * 24 * 60 * 60
READY, DRAINING = "ready", "draining"


class _Document(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Base of the documents: field names in camel case, unknown fields ignored."""


class _AmountsDoc(_Document):
    """Resources of one worker."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0

    def decode(self) -> Amounts:
        return Amounts(self.cpu, self.mem_mb, self.gpu)


class _LimitDoc(_Document):
    """Resources of many workers; 0 means no limit."""

    cpu: Whole = 0
    mem_mb: Whole = 0
    gpu: Whole = 0

    def decode(self) -> Amounts:
        return Amounts(self.cpu, self.mem_mb, self.gpu)


class _AdviceDoc(_Document):
    decision_ms: Whole = 0


class _RouteDoc(_Document):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Whole
    target_latency_ms: Whole = 0
    priority: Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)] = 0
    max_attempts: Whole = 1
    stretch: Figure = 1.0
    public: bool = False
    advice: _AdviceDoc | None = None


class _ServiceDoc(_Document):
    name: str
    standby: bool = False


class _TenantDoc(_Document):
    name: str
    api_keys: tuple[str, ...]
    weight: Figure
    # In spite of its name not a count, but the resources that the tenant's running
    # tasks may use together.
    max_count: _LimitDoc = _LimitDoc()


class _ConfigDoc(_Document):
    version: Whole
    routes: tuple[_RouteDoc, ...]
    services: tuple[_ServiceDoc, ...]
    tenants: tuple[_TenantDoc, ...] = ()


class _StepDoc(_Document, omit_defaults=True):
    count: Whole = 0
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimate_ms: Whole = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    # A single label that the VM must have, in spite of the plural.
    constraints: str = ""
    data_rack: str = ""
    anti_affinity: Whole = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Whole = 0
    fills: bool = False
    miss_budget: Whole = 0


class _JobDoc(_Document):
    spec: str = ""
    steps: tuple[_StepDoc, ...] = ()
    repeat_count: Whole = 0
    start_at_ms: Whole = 0
    interval_ms: Whole = 0


class _ReportDoc(_Document):
    service: str
    address: str
    zone: str
    state: str
    sequence: Whole
    capacity: _AmountsDoc
    labels: tuple[str, ...] = ()
    clock_ms: Whole = 0
    machine: str = ""
    born: Whole = 0
    remaining_ms: int = 0
    # Any value, as an odd one must not refuse the report.
    cold_remaining_ms: Any = None


class _LeaveDoc(_Document):
    born: Whole = 0


class _WaveDoc(_Document):
    wave: Whole
    machines: tuple[str, ...]
    duration_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAVE_S)]
    # Maximum number of machines that may be down at a time.
    max_count: Whole


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's report of itself.

    Attributes
    ----------
    vm : VmRecord
        The worker as it describes itself.
    sequence : int
        Number of the report; orders the reports of one incarnation.
    clock_ms : int
        The worker's own clock, in milliseconds.
    cold_remaining_ms : int or None
        How much longer it is cold; None if it does not tell.
    """

    vm: VmRecord
    sequence: int
    clock_ms: int
    cold_remaining_ms: int | None = None


class WaveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to start a maintenance wave.

    Attributes
    ----------
    number : int
        Number of the wave.
    machines : tuple of str
        Machines to maintain.
    duration_ms : int
        Duration of the wave in milliseconds.
    max_at_once : int
        Maximum number of machines that may be down at a time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_at_once: int


_CONFIG_DECODER = msgspec.json.Decoder(_ConfigDoc)
_JOB_DECODER = msgspec.json.Decoder(_JobDoc)
_REPORT_DECODER = msgspec.json.Decoder(_ReportDoc)
_LEAVE_DECODER = msgspec.json.Decoder(_LeaveDoc)
_WAVE_DECODER = msgspec.json.Decoder(_WaveDoc)


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        return decode_document(decoder, body)
    except UndecodableError as exc:
        raise DocumentError(str(exc)) from exc


def decode_plan(body: bytes) -> Plan:
    """Return the plan in a configuration; raise `DocumentError` if it is invalid."""
    plan = parse_plan(body)
    try:
        check_plan(plan)
    except InvalidPlanError as exc:
        raise DocumentError(str(exc)) from exc
    return plan


def parse_plan(body: bytes) -> Plan:
    """Return the plan in a configuration without a check of its consistency.

    Raises
    ------
    DocumentError
        A field is missing or has a value that is not accepted.
    """
    doc = _decode(_CONFIG_DECODER, body)
    for route in doc.routes:
        if route.timeout_ms <= 0:
            raise DocumentError(f"routes.{route.name}.timeoutMs: must be above 0")
    return Plan(
        version=doc.version,
        queues=tuple(_decode_queue(route) for route in doc.routes),
        pools=tuple(
            Pool(name=service.name, is_standby=service.standby)
            for service in doc.services
        ),
        customers=tuple(
            Customer(
                name=tenant.name,
                keys=tenant.api_keys,
                weight=tenant.weight,
                limit=tenant.max_count.decode(),
            )
            for tenant in doc.tenants
        ),
        document=body,
    )


def _decode_queue(route: _RouteDoc) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        pool=route.service,
        is_public=route.public,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        stretch=route.stretch,
        target_latency_ms=route.target_latency_ms,
        needs_advice=route.advice is not None,
    )


async def decode_job(
    body: bytes, *, job_id: str, queue: Queue, customer: str
) -> JobSpec:
    """Return the job in a submission; raise `DocumentError` if it is invalid.

    The steps of a large job are decoded in turns with other work.
    """
    doc = _read_job(body)
    steps = await map_in_turns(_decode_step, doc.steps)
    return _job_spec(doc, steps, job_id=job_id, queue=queue, customer=customer)


def _read_job(body: bytes) -> _JobDoc:
    doc = _decode(_JOB_DECODER, body)
    if len(doc.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise DocumentError(f"spec: at most {MAX_PAYLOAD_BYTES} bytes are accepted")
    return doc


def _job_spec(
    doc: _JobDoc,
    steps: tuple[StepSpec, ...],
    *,
    job_id: str,
    queue: Queue,
    customer: str,
) -> JobSpec:
    try:
        check_steps(steps, n_occurrences=max(1, doc.repeat_count))
    except InvalidJobError as exc:
        raise DocumentError(str(exc)) from exc
    repetition = None
    if doc.repeat_count > 0:
        repetition = Repetition(
            first_at_ms=doc.start_at_ms,
            interval_ms=doc.interval_ms,
            count=doc.repeat_count,
        )
    return JobSpec(
        job_id=job_id,
        queue=queue.name,
        pool=queue.pool,
        customer=customer,
        payload=doc.spec,
        steps=steps,
        repetition=repetition,
    )


def _decode_step(step: _StepDoc) -> StepSpec:
    return StepSpec(
        n_tasks=step.count,
        need=Amounts(step.cpu, step.mem_mb, step.gpu),
        estimate_ms=step.estimate_ms,
        after=step.after,
        has_checkpoints=step.checkpointing,
        is_gang=step.gang,
        is_rack_bound=step.rack_sensitive,
        label=step.constraints,
        data_rack=step.data_rack,
        max_per_vm=step.anti_affinity,
        is_speculative=step.speculative,
        is_long_running=step.long_running,
        image=step.image,
        target_ms=step.target_ms,
        is_filler=step.fills,
        disruption_budget=step.miss_budget,
    )


def decode_report(body: bytes, *, vm_id: str) -> WorkerReport:
    """Return a worker's report; raise `DocumentError` if it is invalid."""
    doc = _decode(_REPORT_DECODER, body)
    if doc.state not in (READY, DRAINING):
        raise DocumentError(f"state: {doc.state!r} is not known")
    if not is_address(doc.address):
        raise DocumentError(
            "address: must be host:port with a port between 1 and 65535"
        )
    vm = VmRecord(
        vm_id=vm_id,
        born_ms=doc.born,
        machine=doc.machine,
        pool=doc.service,
        address=doc.address,
        data_centre=doc.zone,
        capacity=doc.capacity.decode(),
        labels=doc.labels,
        is_draining=doc.state == DRAINING,
    )
    cold_ms = doc.cold_remaining_ms
    return WorkerReport(
        vm=vm,
        sequence=doc.sequence,
        clock_ms=doc.clock_ms,
        cold_remaining_ms=cold_ms if type(cold_ms) is int else None,
    )


def decode_deregistration(body: bytes) -> int:
    """Return the start time of the incarnation that deregisters; 0 if not given.

    The body may be empty. The time is in milliseconds.
    """
    return _decode(_LEAVE_DECODER, body).born if body else 0


def decode_wave(body: bytes) -> WaveOrder:
    """Return the order to start a wave; raise `DocumentError` if it is invalid."""
    doc = _decode(_WAVE_DECODER, body)
    return WaveOrder(
        number=doc.wave,
        machines=doc.machines,
        duration_ms=round(doc.duration_s * 1000),
        max_at_once=doc.max_count,
    )
