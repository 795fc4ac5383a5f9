"""Settings of a node, read from an INI file."""
