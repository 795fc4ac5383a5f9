"""Request targets in absolute form, as clients send them to a proxy.

A server has to accept them as well (RFC 9112, section 3.2.2). Their authority replaces
the Host header, and the rest is the target in origin form.
"""

from __future__ import annotations

import re

from sequoiaspoke.errors import BadRequestError

SCHEME = re.compile("http://", re.IGNORECASE)
# An authority without user information, which a request must not contain (RFC 9110,
# section 4.2.4).
AUTHORITY = re.compile(
    r"(?:\[[0-9A-Za-z:._~!$&'()*+,;=-]+\]|[0-9A-Za-z._~!$&'()*+,;=%-]+)(?::[0-9]*)?"
)
# The characters that end an authority.
AUTHORITY_END = re.compile(r"[/?]|\Z")


def split_absolute(target: str) -> tuple[str, str] | None:
    """Return the authority and the origin form of a target, None for other forms.

    Raises
    ------
    BadRequestError
        The authority is empty or malformed.
    """
    scheme = SCHEME.match(target)
    if scheme is None:
        return None
    authority = AUTHORITY.match(target, scheme.end())
    if authority is None or not AUTHORITY_END.match(target, authority.end()):
        raise BadRequestError("the authority of the request target is malformed")
    rest = target[authority.end() :]
    return authority.group(), rest if rest.startswith("/") else "/" + rest
