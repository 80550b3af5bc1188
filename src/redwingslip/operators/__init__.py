"""The HTTP interface for operators: the resources of the fleet."""

from ._resources import ResourceRecord, record_of
from ._routes import OperatorInterface, operator_routes
from ._service import FleetService, ProcessStatus
from .exceptions import NoLeaderError, OperatorError

__all__ = [
    "FleetService",
    "NoLeaderError",
    "OperatorError",
    "OperatorInterface",
    "ProcessStatus",
    "ResourceRecord",
    "operator_routes",
    "record_of",
]
