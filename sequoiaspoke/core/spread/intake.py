"""Process heads, parts and VM lists from any source, and announce the results.

Every document passes the same gate, whichever source it comes from. Each version
that was installed or refused is reported to the event loop and the peers once.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from sequoiaspoke.core.snapshot.gate import Verdict
from sequoiaspoke.core.spread import events, messages
from sequoiaspoke.core.spread.answers import apply_delta
from sequoiaspoke.errors import DocumentError

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.model import Head
    from sequoiaspoke.core.spread.answers import Answerer
    from sequoiaspoke.core.spread.links import Link, LinkTable
    from sequoiaspoke.core.spread.pull import Puller
    from sequoiaspoke.core.spread.state import SpreadState
    from sequoiaspoke.core.spread.strategy import Strategy

PLATFORM_SOURCE = "platform"


class Intake:
    """Offers documents to the holder and reports what was installed or refused."""

    def __init__(
        self,
        state: SpreadState,
        links: LinkTable,
        puller: Puller,
        answerer: Answerer,
        strategy: Strategy,
    ) -> None:
        self.state = state
        self.links = links
        self.puller = puller
        self.answerer = answerer
        self.strategy = strategy
        self.announced_version = 0
        self.announced_refused = 0

    def on_head_answer(
        self, link: Link, message: messages.HeadAnswer, exchange: Any, now: float
    ) -> None:
        """Process a head that this node asked for."""
        if message.delta is None:
            # The peer has a newer one by now; its next heartbeat says which.
            link.status = replace(link.status, version=0, refused_version=0)
            return
        taken = self.take_delta(link, message.delta, now)
        if not taken and exchange.question.base_root:
            self.puller.ask_full_head(link, exchange.question, now)

    def take_delta(self, link: Link, delta: messages.HeadDelta, now: float) -> bool:
        """Rebuild a head from a difference; return False if the base did not fit."""
        if (
            self.state.holder.gate.classify(delta.version, delta.root)
            is not Verdict.NEW
        ):
            return True
        try:
            head = apply_delta(delta, self.state.holder)
        except DocumentError:
            self.links.close(link, "nonsense", now)
            return True
        if head is None:
            self.state.count("delta-without-base")
            return False
        self.take_head(head, link.peer, now)
        return True

    def take_head(self, head: Head, source: str, now: float) -> None:
        """Offer a head to the holder."""
        decision = self.state.holder.offer_head(head, source, now)
        if decision.verdict is Verdict.NEW and not self.strategy.reuses_parts:
            self.state.holder.store.parts.clear()
        self.publish_results()

    def on_parts_answer(
        self, link: Link, message: messages.PartsAnswer, exchange: Any, now: float
    ) -> None:
        """Process parts that this node asked for; missing ones are fetched again."""
        for part in message.parts:
            self.take_part(part.digest, part.packed, link.peer, now)
        if message.busy:
            self.state.count("peer-busy")
        given = {part.digest for part in message.parts}
        for digest in exchange.question.digests:
            if digest not in given:
                self.puller.part_omitted(digest, not given, now)

    def take_part(self, digest: str, packed: bytes, source: str, now: float) -> None:
        """Offer a part to the holder."""
        if not self.state.holder.offer_part(digest, packed, now).accepted:
            self.state.count(f"part-corrupt-from-{_source_kind(source)}")
            self.puller.part_failed(digest, now)
        self.publish_results()

    def on_vms_answer(
        self, link: Link, message: messages.VmsAnswer, exchange: Any, now: float
    ) -> None:
        """Process a VM list that this node asked for."""
        del exchange, now
        try:
            taken = self.state.vms.apply(message)
        except DocumentError:
            self.state.count("vms-invalid")
            return
        if taken:
            self.vms_changed(link)

    def vms_changed(self, source: Link | None) -> None:
        """Report a newer VM list to the event loop and the peers."""
        view = self.state.vms
        self.state.emit(events.VmsChanged(view.revision, tuple(view.vms.values())))
        announcement = messages.Announcement(0, vms_revision=view.revision)
        for link in self.links.live():
            if link is not source and link.status.vms_revision < view.revision:
                self.links.send(link, announcement)

    def publish_results(self) -> None:
        """Report new installed and refused versions to the event loop and peers."""
        gate = self.state.holder.gate
        if self.state.holder.version > self.announced_version:
            self.announced_version = self.state.holder.version
            source = self.state.holder.sources.get(self.announced_version, "")
            self.state.emit(events.Installed(self.state.holder.current, source))
            self.answerer.announce(gate.current, self.state.holder.previous)
        refused = gate.newest_refused()
        if refused and refused.version > self.announced_refused:
            self.announced_refused = refused.version
            last = self.state.holder.last_refused
            self.state.emit(events.Refused(refused.version, last.source, last.reason))
            self.answerer.announce(refused, gate.current)


def _source_kind(source: str) -> str:
    return source if source == PLATFORM_SOURCE else "peer"
