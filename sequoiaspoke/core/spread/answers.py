"""Messages to peers: the node's status, announcements and answers to questions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot.codec import check_head, root_digest
from sequoiaspoke.core.snapshot.model import Head
from sequoiaspoke.core.spread.budget import TokenBucket
from sequoiaspoke.core.spread.messages import (
    Announcement,
    HeadAnswer,
    HeadDelta,
    HeadQuestion,
    Part,
    PartsAnswer,
    PartsQuestion,
    Status,
    VmsQuestion,
)
from sequoiaspoke.core.spread.strategy import difference

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.gate import DigestedHead
    from sequoiaspoke.core.snapshot.holder import SnapshotHolder
    from sequoiaspoke.core.spread.links import Link, LinkTable
    from sequoiaspoke.core.spread.messages import Message
    from sequoiaspoke.core.spread.state import SpreadState
    from sequoiaspoke.core.spread.strategy import Strategy

# Bytes of parts in one answer; larger answers would delay the heartbeats after them.
MAX_ANSWER_BYTES = 256 * 1024


def apply_delta(delta: HeadDelta, holder: SnapshotHolder) -> Head | None:
    """Rebuild a head; None if its base is not held or the digest differs.

    Raises
    ------
    DocumentError
        The rebuilt head is invalid and must not reach other nodes.
    """
    parts: dict[str, str] = {}
    if delta.base_root:
        base = holder.find_by_root(delta.base_root)
        if base is None:
            return None
        parts = dict(base.head.parts)
    for name in delta.removed:
        parts.pop(name, None)
    parts.update(delta.changed)
    head = Head(delta.version, parts)
    check_head(head)
    return head if root_digest(head) == delta.root else None


class Answerer:
    """Answers peers within a budget of bytes, and announces new versions."""

    def __init__(
        self, state: SpreadState, links: LinkTable, strategy: Strategy
    ) -> None:
        self.state = state
        self.links = links
        self.strategy = strategy
        self.byte_budget = TokenBucket(state.spread.answer_bytes)

    def status(self, watch: int, spare: int) -> Status:
        """Return the status that heartbeats carry."""
        gate = self.state.holder.gate
        current, refused = gate.current, gate.newest_refused()
        return Status(
            current.version if current else 0,
            current.root if current else "",
            refused.version if refused else 0,
            refused.root if refused else "",
            self.state.vms.revision,
            int(watch),
            spare,
            self.strategy.heartbeat_digests(current),
        )

    def announce(self, target: DigestedHead, base: DigestedHead | None) -> None:
        """Announce a version to every linked peer not known to have seen it."""
        delta = self.strategy.announced_delta(target, base)
        revision = self.state.vms.revision
        announcement = Announcement(target.version, target.root, delta, revision)
        for link in self.links.live():
            if not link.has_seen(target.version):
                self.state.count("announced")
                self.links.send(link, announcement)

    def answer(self, link: Link, number: int, message: Message, now: float) -> None:
        """Answer a question for a head, parts or the VM list."""
        if isinstance(message, HeadQuestion):
            self.links.send(link, self.head(message), number)
        elif isinstance(message, PartsQuestion):
            self.links.send(link, self.parts(message, now), number)
        elif isinstance(message, VmsQuestion):
            self.links.send(link, self.state.vms.answer(message.revision), number)
        else:
            self.state.count("message-unexpected")

    def head(self, question: HeadQuestion) -> HeadAnswer:
        """Return a head if it is held, as a difference if possible."""
        holder = self.state.holder
        target = holder.find_by_root(question.root)
        if target is None or target.version != question.version:
            return HeadAnswer()
        return HeadAnswer(difference(target, holder.find_by_root(question.base_root)))

    def parts(self, question: PartsQuestion, now: float) -> PartsAnswer:
        """Return the parts that are held, fit into one answer and the budget."""
        found: list[Part] = []
        size = 0
        for digest in question.digests:
            packed = self.state.holder.store.get(digest)
            if packed is None:
                continue
            if found and size + len(packed) > MAX_ANSWER_BYTES:
                break
            if not self.byte_budget.take(now, len(packed)):
                self.state.count("answer-over-budget")
                return PartsAnswer(tuple(found), busy=True)
            found.append(Part(digest, packed))
            size += len(packed)
        return PartsAnswer(tuple(found))
