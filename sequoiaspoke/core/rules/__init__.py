"""Parse, match and validate routing rules."""
