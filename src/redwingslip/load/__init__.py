"""Package load."""
