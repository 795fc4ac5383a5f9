"""Rules: parsing, matching and validation."""
