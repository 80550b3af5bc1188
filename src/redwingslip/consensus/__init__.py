"""Consensus: a replicated log as a state machine without sockets, and its driver."""
