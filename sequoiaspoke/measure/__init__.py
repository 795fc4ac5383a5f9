"""Measurements with real processes on loopback; no part of the mesh."""
