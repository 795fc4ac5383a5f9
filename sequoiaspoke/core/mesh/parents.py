"""Recognize the calls that an upstream makes while it runs others.

Callers on a VM and the upstream beside its node share one address, so the address does
not tell nested calls from fresh ones. Upstreams derive the id of a nested call from the
id of its parent, which they append to. A call counts as nested only if the id that it
extends belongs to a call that runs at the upstream at that moment.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

# Answers after which a kind of call that has made no calls is taken for one that makes
# none.
ANSWERS_TO_KNOW = 20
# Calls that one call is expected to make at once, at most: callers can send ids that
# look like those of an upstream.
MAX_AT_ONCE = 8


class RunningParents:
    """Calls that run at the upstream beside a node, and the calls that they make.

    Attributes
    ----------
    kinds : dict of str to Hashable
        Kinds of the running calls, by id.
    lengths : Counter of int
        Numbers of running calls by the length of their ids.
    nested : Counter of str
        Unanswered calls of each call that has made some, by its id.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, Hashable] = {}
        self.lengths: Counter[int] = Counter()
        self.nested: Counter[str] = Counter()

    def begin(self, call_id: str, kind: Hashable) -> None:
        """Record that a call is sent to the upstream; an empty id is ignored."""
        if call_id:
            self.end(call_id)
            self.kinds[call_id] = kind
            self.lengths[len(call_id)] += 1

    def end(self, call_id: str) -> None:
        """Record the end of a call."""
        if call_id not in self.kinds:
            return
        del self.kinds[call_id]
        self.lengths[len(call_id)] -= 1
        if not self.lengths[len(call_id)]:
            del self.lengths[len(call_id)]

    def find_parent(self, call_id: str) -> str | None:
        """Return the id of the running call that makes a call, None for none."""
        for end in sorted(self.lengths):
            if is_extended(call_id, end) and call_id[:end] in self.kinds:
                return call_id[:end]
        return None

    def begin_nested(self, parent: str) -> int:
        """Record a call of a running call; return how many of it are unanswered."""
        self.nested[parent] += 1
        return self.nested[parent]

    def end_nested(self, parent: str) -> None:
        """Record the end of a call of a call, which may have ended before."""
        self.nested[parent] -= 1
        if not self.nested[parent]:
            del self.nested[parent]


def is_extended(call_id: str, end: int) -> bool:
    """Return whether an id may consist of that of a parent, up to there, and more."""
    return len(call_id) > end and not call_id[end].isalnum()


class CallingKinds:
    """Which kinds of calls make calls of their own, as far as that is known.

    Attributes
    ----------
    answers : Counter
        Answers to the calls of each kind.
    at_once : dict
        Largest number of calls that one call has made at once, by its kind; lacks the
        kinds that have made none.
    """

    def __init__(self) -> None:
        self.answers: Counter[Hashable] = Counter()
        self.at_once: dict[Hashable, int] = {}

    def record_answer(self, kind: Hashable) -> None:
        """Record that a call of a kind was answered."""
        self.answers[kind] += 1

    def record_nested(self, kind: Hashable, at_once: int = 1) -> None:
        """Record how many unanswered calls a call of a kind has made."""
        most = max(at_once, self.at_once.get(kind, 0))
        self.at_once[kind] = min(MAX_AT_ONCE, most)

    def calls_at_once(self, kind: Hashable) -> int:
        """Return how many calls a call of a kind may make at once."""
        if kind in self.at_once:
            return self.at_once[kind]
        return int(self.answers[kind] < ANSWERS_TO_KNOW)
