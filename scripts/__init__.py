"""Scripts that are not part of the library: demo, measurements and test runner."""
