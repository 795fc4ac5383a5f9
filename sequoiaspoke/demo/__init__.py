"""A whole session on loopback that anyone can watch."""
