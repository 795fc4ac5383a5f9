"""Decisions of a sidecar: routes, balancing, retries, admission, endpoints."""
