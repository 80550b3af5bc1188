"""Scripts beside the library: the demo, measurements and the test runner."""
