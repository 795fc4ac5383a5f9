"""Decisions of a sidecar: routing, load balancing, retries, admission, endpoints."""
