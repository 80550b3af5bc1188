"""Instruments of metrics, and their limits on the values of attributes.

The values of attributes are names that operators declared and outcomes from short
lists, never the ids of requests.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

__all__ = ["MAX_ATTRIBUTE_VALUES", "Instrument", "InstrumentSet", "NullMeter"]

MAX_ATTRIBUTE_VALUES = 500
OTHER_VALUE = "other"


class _NullInstrument:
    """An instrument that discards every value, for use without an exporter."""

    __slots__ = ()

    def add(self, amount: float, attributes: dict | None = None) -> None:
        """Discard a count."""

    def set(self, amount: float, attributes: dict | None = None) -> None:
        """Discard a value."""

    def record(self, amount: float, attributes: dict | None = None) -> None:
        """Discard a measurement."""


class NullMeter:
    """Creates instruments that discard every value."""

    __slots__ = ()

    def create_counter(self, name: str, **options: str) -> _NullInstrument:
        """Return an instrument that discards every value."""
        return _NullInstrument()

    create_gauge = create_counter
    create_histogram = create_counter


class Instrument(NamedTuple):
    """Kind, name, unit and description of an instrument."""

    kind: str
    name: str
    unit: str
    description: str


class InstrumentSet:
    """Instruments by name; subclasses record values with those of their subject.

    Parameters
    ----------
    meter : opentelemetry.metrics.Meter
        Creates the instruments.
    instruments : iterable of Instrument
        The instruments to create.
    """

    __slots__ = ("_instruments", "_seen_values")

    def __init__(self, meter: Any, instruments: Iterable[Instrument]) -> None:
        self._seen_values: dict[str, set[str]] = {}
        self._instruments = {
            instrument.name: _create_instrument(meter, instrument)
            for instrument in instruments
        }

    def _record(self, name: str, duration: timedelta, attributes: dict) -> None:
        instrument = self._instruments[name]
        instrument.record(duration.total_seconds(), self._limit_values(attributes))

    def _limit_values(self, attributes: dict[str, Any]) -> dict[str, Any]:
        """Limit the number of distinct values of each attribute.

        Once an attribute has `MAX_ATTRIBUTE_VALUES` of them, every new value is
        replaced by ``other``.
        """
        limited = {}
        for key, value in attributes.items():
            seen = self._seen_values.setdefault(key, set())
            if value not in seen and len(seen) >= MAX_ATTRIBUTE_VALUES:
                value = OTHER_VALUE
            seen.add(value)
            limited[key] = value
        return limited


def _create_instrument(meter: Any, instrument: Instrument) -> Any:
    """Create an instrument with a meter."""
    create = getattr(meter, f"create_{instrument.kind}")
    return create(
        f"redwingslip.{instrument.name}",
        unit=instrument.unit,
        description=instrument.description,
    )
