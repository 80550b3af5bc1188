"""Package daemons."""
