"""Package observe."""
