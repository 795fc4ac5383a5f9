"""Where calls go and when they are tried again."""
