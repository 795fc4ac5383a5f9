"""Syntax of names, tokens and addresses in rules and services."""

from __future__ import annotations

import ipaddress
import re

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_ALLOWED = "1 to 64 letters, digits, dots, dashes and underscores"
TOKEN = re.compile(
    r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,128}"
)  # RFC 9110: header names and methods
UNPRINTABLE = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")


def printable(text: str) -> str:
    """Return text in a form that is safe to print to any log or terminal."""
    return text if NAME.fullmatch(text) else ascii(text[:80])


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IP address without a scope id."""
    if "%" in text:
        return False
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
