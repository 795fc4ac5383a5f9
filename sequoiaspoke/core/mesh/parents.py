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


class RunningParents:
    """Ids and kinds of the calls that run at the upstream beside a node."""

    def __init__(self) -> None:
        self.kinds: dict[str, Hashable] = {}

    def begin(self, call_id: str, kind: Hashable) -> None:
        """Record that a call is sent to the upstream; an empty id is ignored."""
        if call_id:
            self.kinds[call_id] = kind

    def end(self, call_id: str) -> None:
        """Record the end of a call."""
        self.kinds.pop(call_id, None)

    def kind_of_parent(self, call_id: str) -> Hashable | None:
        """Return the kind of the running call that makes a call, None for none."""
        if not self.kinds:
            return None
        for end, character in enumerate(call_id):
            if not character.isalnum():
                kind = self.kinds.get(call_id[:end])
                if kind is not None:
                    return kind
        return None


class CallingKinds:
    """Which kinds of calls make calls of their own, as far as that is known.

    Attributes
    ----------
    answers : Counter
        Answers to the calls of each kind.
    calling : set
        Kinds that have made calls.
    """

    def __init__(self) -> None:
        self.answers: Counter[Hashable] = Counter()
        self.calling: set[Hashable] = set()

    def record_answer(self, kind: Hashable) -> None:
        """Record that a call of a kind was answered."""
        self.answers[kind] += 1

    def record_nested(self, kind: Hashable) -> None:
        """Record that a call of a kind has made a call."""
        self.calling.add(kind)

    def may_call(self, kind: Hashable) -> bool:
        """Return whether a call of a kind may make calls."""
        return kind in self.calling or self.answers[kind] < ANSWERS_TO_KNOW
