"""The sidecar: one process beside each upstream, entry and home of its calls."""
