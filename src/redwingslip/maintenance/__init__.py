"""Package maintenance."""
