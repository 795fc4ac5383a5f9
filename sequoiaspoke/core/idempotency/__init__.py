"""Run a call that may not be repeated at most once, and answer honestly."""
