"""Run the spread core with real time, sockets and reads of the platform."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from loguru import logger as log
from tornado.ioloop import PeriodicCallback

from sequoiaspoke.core.snapshot.model import VmList
from sequoiaspoke.core.spread import events
from sequoiaspoke.core.spread.core import SpreadCore
from sequoiaspoke.core.spread.state import Identity
from sequoiaspoke.errors import PlatformError
from sequoiaspoke.node import silence
from sequoiaspoke.node.config import ConfigSource, SourceStatus
from sequoiaspoke.node.peerlink import LinkListener, PeerLinks
from sequoiaspoke.node.platformclient import (
    PlatformAbsentError,
    PlatformClient,
    PlatformRefusedError,
)

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Callable, Mapping

    from sequoiaspoke.core.spread.events import Action, Event
    from sequoiaspoke.core.spread.messages import Message
    from sequoiaspoke.settings.schema import Settings

TICK_SECONDS = 0.25  # interval at which the core's timers are checked
INCARNATION_BITS = 48


def now() -> float:
    """Return the seconds since boot, including time while the VM is suspended."""
    # The event loop's monotonic clock stops while the VM is suspended. With it, a
    # node that is paused for a minute, for example while its VM moves to another
    # host, would not notice the pause.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SpreadSource(ConfigSource, LinkListener):
    """Gets new versions from peers; only a few nodes watch the platform."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        node = settings.node
        incarnation = rng.getrandbits(INCARNATION_BITS)
        identity = Identity(node.name, node.zone, incarnation)
        self.settings = settings
        self.core = SpreadCore(settings, identity, rng)
        self.holder = self.core.holder
        self.links = PeerLinks(self)
        self.platform = PlatformClient(settings.platform)
        self.reads: dict[int, asyncio.Task[None]] = {}
        self.ticker = PeriodicCallback(self.read_and_tick, TICK_SECONDS * 1000)
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            events.ReadPlatform: self.read,
            events.CancelRead: self.cancel,
            events.OpenLink: self.open,
            events.CloseLink: self.close,
            events.Send: self.send,
            events.Installed: self.installed,
            events.Refused: self.refused,
            events.VmsChanged: self.vms_changed,
        }
        self.stopped = False

    @property
    def vms(self) -> VmList:
        """Return the newest known list of VMs."""
        view = self.core.state.vms
        return VmList(view.revision, tuple(view.vms.values()))

    @property
    def verified(self) -> bool:
        """Return whether calls may be routed by the version in force."""
        return self.core.verified(now())

    @property
    def counters(self) -> Mapping[str, Counter[str]]:
        """Return the counters of the spread and of the links."""
        return {
            "sequoiaspoke_spread": self.core.state.counters,
            "sequoiaspoke_link": self.links.counters,
        }

    @property
    def peer_server(self) -> PeerLinks:
        """Return the server that accepts links from other nodes."""
        return self.links

    async def start(self) -> None:
        """Start to follow the configuration."""
        self.ticker.start()
        self.tick()

    async def stop(self) -> None:
        """Cancel the reads and close all connections."""
        self.stopped = True
        self.ticker.stop()
        tasks = list(self.reads.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.platform.close()
        await self.links.close()

    def read_and_tick(self) -> None:
        """Let the core act on timers that are due, once all messages were read.

        The clock is read at once: a slow event loop takes long until then, and is not
        paused.
        """
        self.core.detect_pause(now())
        silence.call(self.tick)

    def tick(self) -> None:
        """Let the core act on timers that are due."""
        if not self.stopped:
            self.execute(self.core.tick(now()))

    def handle_event(self, event: Event) -> None:
        """Pass an event to the core and execute the resulting actions."""
        if not self.stopped:
            self.execute(self.core.handle(event, now()))

    def execute(self, actions: list[Action]) -> None:
        """Execute the actions that the core returned."""
        for action in actions:
            self.action_handlers[type(action)](action)

    def link_up(self, number: int) -> None:
        """Handle a link that was established."""
        self.handle_event(events.LinkUp(number))

    def link_down(self, number: int) -> None:
        """Handle a link that was closed."""
        self.handle_event(events.LinkDown(number))

    def received(self, link: int, number: int, message: Message) -> None:
        """Handle a message from a peer."""
        self.handle_event(events.Received(link, number, message))

    def read(self, action: events.ReadPlatform) -> None:
        """Start a read or watch."""
        task = asyncio.get_running_loop().create_task(self._read(action))
        self.reads[action.read] = task

    async def _read(self, action: events.ReadPlatform) -> None:
        event = await self._ask(action)
        self.reads.pop(action.read, None)
        self.handle_event(event)

    async def _ask(self, action: events.ReadPlatform) -> Event:
        read, document = action.read, action.document
        try:
            if action.wait:
                answer = await self.platform.watch(document, action.after, action.wait)
            else:
                answer = await self.platform.read(document)
        except PlatformAbsentError:
            return events.PlatformFailed(read, document, absent=True)
        except PlatformRefusedError as error:
            return events.PlatformFailed(read, document, retry_after=error.retry_after)
        except PlatformError as error:
            log.debug("platform-read-failed", document=document, reason=str(error))
            return events.PlatformFailed(read, document)
        if answer.body is None:
            return events.PlatformUnchanged(read, document)
        return events.PlatformAnswered(read, document, answer.revision, answer.body)

    def cancel(self, action: events.CancelRead) -> None:
        """Cancel a read."""
        task = self.reads.pop(action.read, None)
        if task:
            task.cancel()

    def open(self, action: events.OpenLink) -> None:
        """Open a link to a node."""
        self.links.connect(action.link, action.address, action.port)

    def close(self, action: events.CloseLink) -> None:
        """Close a link."""
        self.links.close_link(action.link)

    def send(self, action: events.Send) -> None:
        """Send a message."""
        self.links.send(action.link, action.number, action.message)

    def installed(self, action: events.Installed) -> None:
        """Log a version that came into force, and record the time."""
        self.holder.installed_at = time.time()
        log.info(
            "version-installed", version=action.snapshot.version, source=action.source
        )

    def refused(self, action: events.Refused) -> None:
        """Log a version that failed validation."""
        log.warning(
            "version-refused",
            version=action.version,
            source=action.source,
            reason=action.reason,
        )

    def vms_changed(self, action: events.VmsChanged) -> None:
        """Log a newer list of VMs."""
        log.info("vms-changed", revision=action.revision, vms=len(action.vms))

    def status(self) -> SourceStatus:
        """Return the state of this source for the status page."""
        core = self.core
        source = self.holder.sources.get(self.holder.version, "")
        return SourceStatus(
            self.settings.spread.strategy,
            source,
            self.links.bytes_sent + self.platform.bytes_sent,
            self.links.bytes_received + self.platform.bytes_received,
            self.platform.reads,
            self.verified,
            {
                "watching": core.platform.on_duty,
                "rank": core.state.vms.rank(),
                "links": sorted(link.peer for link in core.links.live()),
                "vms_revision": core.state.vms.revision,
                "catching_up": not core.catch_up.done,
                "parts_bytes": self.holder.store.size(),
                "events": dict(core.state.counters),
                "link_events": dict(self.links.counters),
            },
        )
