"""The shell around the core: sockets, files and timers."""
