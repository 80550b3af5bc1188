"""Experiments with one pool's decision objects on a manual clock."""
