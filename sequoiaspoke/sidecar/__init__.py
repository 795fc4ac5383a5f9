"""The sidecar: the process beside each upstream, entry and home of calls."""
