"""Package callers."""
