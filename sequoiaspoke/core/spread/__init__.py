"""Distribute versions of the configuration to every node."""
