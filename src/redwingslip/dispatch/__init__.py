"""Package dispatch."""
