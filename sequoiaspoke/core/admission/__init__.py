"""Admission control: which calls a target runs, queues or refuses."""
