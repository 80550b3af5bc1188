"""Package storage."""
