"""Versions of the configuration, held whole."""
