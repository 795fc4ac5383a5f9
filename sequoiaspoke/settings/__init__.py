"""Settings of a process, read from INI."""
