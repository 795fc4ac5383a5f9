"""Which calls a target lets in."""
