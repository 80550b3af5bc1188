"""Allotments of the teams' upper limits to the pools."""

from ._planner import AllotmentPlanner

__all__ = ["AllotmentPlanner"]
