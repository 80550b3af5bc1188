"""Package endpoints."""
