"""Run each non-idempotent call at most once, and report whether it ran."""
