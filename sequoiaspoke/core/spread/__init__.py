"""How versions reach every node."""
