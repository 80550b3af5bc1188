"""Allotments of the teams' upper limits to the pools."""
