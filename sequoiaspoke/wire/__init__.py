"""The protocol between nodes."""
