"""Snapshots: complete versions of the configuration."""
