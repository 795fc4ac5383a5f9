"""Routing: choice of services and targets, retries and direct connections."""
