"""Header values for grant messages between nodes."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.core.routing.grants import (
    Ask,
    Denied,
    DenyReason,
    GrantAnswer,
    Granted,
    Returned,
)
from sequoiaspoke.errors import BadRequestError
from sequoiaspoke.node.client import Address

ASK, RETURN, GRANTED, DENIED = "ask", "return", "granted", "denied"
MILLISECONDS = 1000


@dataclass(frozen=True)
class ParsedAnswer:
    """A home's answer, with the upstream's address if the grant was given."""

    answer: GrantAnswer
    address: Address | None = None


def write_message(message: Ask | Returned) -> str:
    """Format a request for a grant, or the return of one."""
    if isinstance(message, Ask):
        numbers = (message.grant, message.in_use, message.used)
        return " ".join([ASK, message.entry, *map(str, numbers)])
    return f"{RETURN} {message.entry} {message.grant} {message.in_use}"


def read_message(value: str) -> Ask | Returned:
    """Parse a request for a grant, or the return of one.

    Raises
    ------
    BadRequestError
        The value is neither.
    """
    words = value.split()
    try:
        word, entry, *numbers = words
        if word == ASK:
            grant, in_use, used = map(int, numbers)
            return Ask(entry, grant, in_use, used)
        if word == RETURN:
            grant, in_use = map(int, numbers)
            return Returned(entry, grant, in_use)
    except ValueError:
        pass
    raise BadRequestError("malformed grant message")


def write_answer(answer: GrantAnswer, address: str) -> str:
    """Format an answer."""
    if isinstance(answer, Denied):
        return f"{DENIED} {answer.reason.value}"
    lease = round(answer.lease * MILLISECONDS)
    return f"{GRANTED} {answer.grant} {answer.connections} {lease} {address}"


def read_answer(value: str) -> ParsedAnswer | None:
    """Parse an answer; return None if it is malformed."""
    words = value.split()
    try:
        if words[0] == DENIED:
            return ParsedAnswer(Denied(DenyReason(words[1])))
        grant, connections, lease = map(int, words[1:4])
        host, _, port = words[4].rpartition(":")
        answer = Granted(grant, connections, lease / MILLISECONDS)
        return ParsedAnswer(answer, Address(host, int(port)))
    except (ValueError, IndexError):
        return None
