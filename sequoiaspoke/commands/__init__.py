"""Subcommands of the command line."""
