"""The wire protocol between nodes."""
