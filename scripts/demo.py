"""Placeholder of the demo until the daemons run."""
