"""Decisions of a sidecar: routes, placing, repeats, admission, endpoints."""
