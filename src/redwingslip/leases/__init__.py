"""Package leases."""
