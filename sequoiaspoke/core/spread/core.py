"""State machine that distributes versions, without input or output of its own.

The caller (the node's event loop) passes in events and the time, and carries out
the actions that are returned. The state machine never blocks or reads a clock.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from sequoiaspoke.core.membership.pause import PauseDetector
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.publish import HEAD_DOCUMENT, VMS_DOCUMENT
from sequoiaspoke.core.spread import events, messages
from sequoiaspoke.core.spread.answers import Answerer
from sequoiaspoke.core.spread.duty import Duty
from sequoiaspoke.core.spread.intake import PLATFORM_SOURCE, Intake
from sequoiaspoke.core.spread.links import LinkTable
from sequoiaspoke.core.spread.peers import PeerChooser
from sequoiaspoke.core.spread.platform import PlatformReader
from sequoiaspoke.core.spread.pull import Puller
from sequoiaspoke.core.spread.startup import CatchUp
from sequoiaspoke.core.spread.state import SpreadState
from sequoiaspoke.core.spread.strategy import STRATEGIES
from sequoiaspoke.core.spread.verify import Verifier
from sequoiaspoke.errors import DocumentError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from sequoiaspoke.core.spread.events import Action, Event
    from sequoiaspoke.core.spread.links import Link
    from sequoiaspoke.core.spread.state import Identity
    from sequoiaspoke.settings.schema import Settings

# The kind of question that each kind of answer belongs to. A faulty peer may send an
# answer with the number of another kind of question; handling it would raise here.
QUESTION_OF = {
    messages.Welcome: messages.Hello,
    messages.BeatAnswer: messages.Beat,
    messages.HeadAnswer: messages.HeadQuestion,
    messages.PartsAnswer: messages.PartsQuestion,
    messages.VmsAnswer: messages.VmsQuestion,
}


class SpreadCore:
    """Decides what a node reads, asks, answers, announces and installs."""

    def __init__(
        self, settings: Settings, identity: Identity, rng: random.Random
    ) -> None:
        self.state = SpreadState(settings, identity, rng)
        self.strategy = STRATEGIES[settings.spread.strategy]()
        self.links = LinkTable(self.state)
        self.peers = PeerChooser(self.state, self.links)
        self.duty = Duty(self.state, self.peers)
        self.platform = PlatformReader(self.state)
        self.puller = Puller(self.state, self.links, self.platform)
        self.catch_up = CatchUp(self.state, self.links, self.platform)
        self.verifier = Verifier(self.state, self.links, self.platform)
        self.answerer = Answerer(self.state, self.links, self.strategy)
        self.intake = Intake(
            self.state, self.links, self.puller, self.answerer, self.strategy
        )
        self.pause = PauseDetector(settings.membership.pause)
        self.handlers: dict[type, Callable[[Any, float], None]] = {
            events.PlatformAnswered: self.on_platform_answered,
            events.PlatformUnchanged: self.on_platform_unchanged,
            events.PlatformFailed: self.on_platform_failed,
            events.LinkUp: self.on_link_up,
            events.LinkDown: self.on_link_down,
            events.Received: self.on_received,
        }
        self.answer_handlers: dict[type, Callable[[Link, Any, Any, float], None]] = {
            messages.Welcome: self.on_welcome,
            messages.BeatAnswer: self.on_beat_answer,
            messages.HeadAnswer: self.intake.on_head_answer,
            messages.PartsAnswer: self.intake.on_parts_answer,
            messages.VmsAnswer: self.intake.on_vms_answer,
        }

    @property
    def holder(self) -> Any:
        """Return the holder of the version in force."""
        return self.state.holder

    def verified(self, now: float) -> bool:
        """Return whether the version in force may decide calls.

        After a pause a call may arrive before any event or tick, so this checks
        for a pause too.
        """
        return self.verifier.verified and not self.pause.gap(now)

    def status(self) -> messages.Status:
        """Return the node's status for its peers."""
        return self.answerer.status(self.platform.watch_state(), self.duty.spare)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the resulting actions."""
        self.detect_pause(now)
        self.handlers[type(event)](event, now)
        self.puller.schedule(now)
        return self.state.take_actions()

    def tick(self, now: float) -> list[Action]:
        """Do what is due; must be called several times a second."""
        self.detect_pause(now)
        self.platform.tick(self.duty.decide(now), now)
        self.tick_links(now)
        self.puller.tick(now)
        self.catch_up.tick(now)
        self.verifier.tick(now)
        self.holder.try_install(now)
        self.intake.publish_results()
        return self.state.take_actions()

    def detect_pause(self, now: float) -> None:
        """Reset everything that depends on time if this process was paused."""
        if not self.pause.observe(now):
            return
        self.verifier.on_resume(now)
        self.links.extend_deadlines(now)
        self.platform.restart_watches()

    def tick_links(self, now: float) -> None:
        """Close silent and unwanted links, open wanted ones and send heartbeats."""
        self.links.close_silent(now)
        wanted = self.peers.wanted(self.catch_up.extra_peers(), now)
        for name, vm in wanted.items():
            if not self.links.find(name) and not self.links.connecting(name):
                self.links.open(vm, now)
        self.links.close_unwanted(wanted, now)
        beat = messages.Beat(self.status())
        for link in self.links.live():
            if link.outgoing and now >= link.beat_due:
                link.beat_due = now + self.state.spread.beat
                self.links.ask(link, beat, now)

    def on_platform_answered(self, event: events.PlatformAnswered, now: float) -> None:
        """Process a document from the platform."""
        digest = self.platform.parts.pop(event.read, None)
        if digest is not None:
            self.intake.take_part(digest, event.body, PLATFORM_SOURCE, now)
            return
        try:
            self.take_document(event, now)
        except DocumentError:
            failed = events.PlatformFailed(event.read, event.document)
            self.state.count("platform-document-invalid")
            self.platform.failed(failed, now)

    def take_document(self, event: events.PlatformAnswered, now: float) -> None:
        """Process the head or the VM list from the platform."""
        if event.document == HEAD_DOCUMENT:
            head = codec.decode_head(event.body)
            if self.platform.answer(event, now):
                self.intake.take_head(head, PLATFORM_SOURCE, now)
        elif event.document == VMS_DOCUMENT:
            vms = codec.decode_vms(event.body)
            taken = self.state.vms.offer(vms)
            self.platform.answer(event, now)
            if taken:
                self.intake.vms_changed(None)

    def on_platform_unchanged(
        self, event: events.PlatformUnchanged, now: float
    ) -> None:
        """Record that a watch ended without a change."""
        del now
        self.platform.unchanged(event)

    def on_platform_failed(self, event: events.PlatformFailed, now: float) -> None:
        """Record that a read failed."""
        digest = self.platform.parts.pop(event.read, None)
        if digest is not None:
            self.state.count("platform-failed-part")
            self.puller.part_failed(digest, now)
            return
        self.platform.failed(event, now)
        self.state.no_vm_list = self.platform.vms.absent

    def on_link_up(self, event: events.LinkUp, now: float) -> None:
        """Send a greeting on a link that this node opened."""
        link = self.links.up(event.link, now)
        if link is None or not link.outgoing:
            return
        own = self.state.identity
        hello = messages.Hello(own.name, own.zone, own.incarnation, self.status())
        self.links.ask(link, hello, now)

    def on_link_down(self, event: events.LinkDown, now: float) -> None:
        """Remove a link."""
        self.links.down(event.link, now)

    def on_received(self, event: events.Received, now: float) -> None:
        """Process a message from a peer."""
        link = self.links.links.get(event.link)
        if link is None:
            self.state.count("message-on-closed-link")
            return
        link.last_received = now
        message = event.message
        answer = self.answer_handlers.get(type(message))
        if answer:
            exchange = self.links.match_answer(link, event.number)
            if exchange and QUESTION_OF.get(type(message)) is not type(
                exchange.question
            ):
                self.links.close(link, "other-answer", now)
            elif exchange:
                answer(link, message, exchange, now)
        elif isinstance(message, messages.Hello):
            self.on_hello(link, event.number, message, now)
        elif not link.greeted:
            self.state.count("message-before-greeting")
        elif isinstance(message, messages.Announcement):
            self.on_announcement(link, message, now)
        elif isinstance(message, messages.Beat):
            self.take_status(link, message.status, now)
            answer = messages.BeatAnswer(self.status())
            self.links.send(link, answer, event.number)
        else:
            self.answerer.answer(link, event.number, message, now)

    def on_hello(
        self, link: Link, number: int, hello: messages.Hello, now: float
    ) -> None:
        """Answer the greeting of a node that opened a link."""
        own = self.state.identity
        self.links.greet(link, hello, now)
        welcome = messages.Welcome(own.name, own.zone, own.incarnation, self.status())
        self.links.send(link, welcome, number)
        self.puller.consider(link, now)

    def on_welcome(
        self, link: Link, message: messages.Welcome, exchange: Any, now: float
    ) -> None:
        """Record which node answered on a link that this node opened."""
        del exchange
        self.links.greet(link, message, now)
        if link.greeted:
            self.puller.consider(link, now)

    def on_beat_answer(
        self, link: Link, message: messages.BeatAnswer, exchange: Any, now: float
    ) -> None:
        """Process the status in a peer's answer to a heartbeat."""
        asked_at = exchange.deadline - self.state.spread.exchange
        self.take_status(link, message.status, now)
        self.verifier.confirm(link, asked_at)

    def take_status(self, link: Link, status: messages.Status, now: float) -> None:
        """Compare a peer's status with what is held."""
        link.status = status
        gate = self.holder.gate
        first = gate.first_root(status.version)
        if first is not None and first != status.root:
            self.state.count("conflict-seen")
        if status.digests:
            delta = messages.HeadDelta(
                status.version, status.root, changed=status.digests
            )
            self.intake.take_delta(link, delta, now)
        self.puller.consider(link, now)

    def on_announcement(
        self, link: Link, message: messages.Announcement, now: float
    ) -> None:
        """Process a peer's announcement of a version or VM list."""
        status = link.status
        if message.version > status.version:
            status = replace(status, version=message.version, root=message.root)
        revision = max(status.vms_revision, message.vms_revision)
        link.status = replace(status, vms_revision=revision)
        if message.delta and message.version > self.holder.version:
            self.intake.take_delta(link, message.delta, now)
        self.puller.consider(link, now)
