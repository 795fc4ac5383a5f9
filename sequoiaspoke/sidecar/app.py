"""Put a sidecar together and run it until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.reading import USUAL_BOUND, ReadingDuty
from sequoiaspoke.errors import SettingsError
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.callerserver import CallerServer
from sequoiaspoke.sidecar.crashnews import CrashNews
from sequoiaspoke.sidecar.entry import Entry
from sequoiaspoke.sidecar.follower import Follower
from sequoiaspoke.sidecar.frames import TcpDialer
from sequoiaspoke.sidecar.healthserver import HealthPages
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.linkserver import LinkServer
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.metrics import SidecarMetrics
from sequoiaspoke.sidecar.peers import Peers
from sequoiaspoke.sidecar.pending import LinkIdentity
from sequoiaspoke.sidecar.spread import Spread
from sequoiaspoke.sidecar.state import MeshState
from sequoiaspoke.sidecar.upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sequoiaspoke.sidecar.logs import DroppingOutput
    from sequoiaspoke.sidecar.settings import SidecarSettings
    from sequoiaspoke.sidecar.source import ItemDecoder, ItemStore

# Seconds between two looks at what is overdue, and while no call is under way. Half a
# second is allowed for a final answer after its time. A node of a large fleet is idle
# for most of the time, and a look that finds nothing costs a tenth of a call.
TICK_SECONDS, REST_SECONDS = 0.1, 0.3
# Seconds between two looks at the callers' connections: they idle and take their time
# over a head for seconds, and there may be hundreds.
CALLERS_SECONDS = 0.5
# A look that comes this much too late means that the VM stood still.
PAUSE_SECONDS = 1.0
# Part of the time in which a version has to be in force after which a node that was not
# confirmed denies no route.
DENY_PART = 0.75
# Seconds for which a stopping node serves on although nobody waits: callers are moved
# away after two questions a second apart have found it not ready.
LINGER_SECONDS = 2.6
# Seconds before its end by which a stopping node's calls should have their answers.
LAST_SECONDS = 0.2


class Sidecar:
    """One sidecar."""

    def __init__(
        self,
        settings: SidecarSettings,
        store: ItemStore,
        decoder: ItemDecoder,
        reload: Callable[[], SidecarSettings],
        output: DroppingOutput,
        rng: Random,
    ) -> None:
        self.settings = settings
        self.reload = reload
        self.log = EventLog(settings.names.call_id)
        self.incarnation = rng.getrandbits(62)
        self.state = MeshState(decoder, self.log, self.state_changed)
        self.state.deny_after = DENY_PART * settings.act_within
        host, port = settings.upstream
        self.upstream = Upstream(host, port, settings.names)
        self.home = Home(self.upstream, self.state.directory, self.log)
        self.home.expect_earlier_calls()
        identity = LinkIdentity(settings.links[0], settings.zone, self.incarnation)
        self.duty = ReadingDuty(
            settings.links[0],
            settings.zone,
            settings.act_within / USUAL_BOUND,
            settings.link_mbps,
        )
        self.spread = Spread(self.state, self.duty, self.log)
        self.peers = Peers(
            identity,
            settings.links[1],
            self.state,
            self.spread,
            rng,
            self.log,
            TcpDialer(),
        )
        self.crash_news = CrashNews(
            self.home.suspicion.quarantine,
            self.home.suspicion.learn,
            self.spread,
            self.peers,
            self.duty,
        )
        self.home.suspicion.on_news = self.crash_news.tell
        self.spread.crash_news = self.crash_news
        self.entry = Entry(
            settings.service,
            settings.regions,
            settings.names,
            self.state,
            self.home,
            self.peers,
            settings.repeats,
            rng,
            self.log,
        )
        self.callers = CallerServer(self.entry.handle, self.crashed, host)
        self.links = LinkServer(self.home, self.spread, self.incarnation, self.log)
        self.metrics = SidecarMetrics(self, output)
        pages = HealthPages(
            settings.health_path,
            self.not_ready,
            self.metrics.page,
            self.status,
            self.home.suspicion.release,
        )
        self.health = CallerServer(pages.handle, self.crashed)
        self.follower = Follower(store, self.state, self.duty, rng)
        self.stopping: float | None = None
        self.stopped = asyncio.Event()
        self.ticked = clock.now()
        self.loop_delay = 0.0
        self.tick_pause = 0.0
        self.callers_looked_at = 0.0
        self.acted_on = (0, 0, 0, 0)
        self.readers_logged: tuple[str, ...] = ()

    def crashed(self, error: BaseException) -> None:
        """Log an error that no code expected."""
        self.log.event("crash", error=repr(error))

    def status(self) -> bytes:
        """Return the page for the operators' status command."""
        from sequoiaspoke.sidecar.statuspage import status_page

        return status_page(self)

    def not_ready(self) -> str:
        """Return why this node takes no callers, empty if it does."""
        if self.stopping is not None:
            return "stopping"
        return "" if self.state.complete else "uninformed"

    def state_changed(self) -> None:
        """Follow a change of what is known of the platform, or its confirmation."""
        state = self.state
        known = (
            state.directory.serial,
            state.version,
            self.duty.rates_learnt,
            state.evacuations.serial,
        )
        if known != self.acted_on:
            self.acted_on = known
            self.act_on_change()
        self.spread.publish()

    def act_on_change(self) -> None:
        """Follow a change of what is known of the platform."""
        if self.state.table is not None:
            self.callers.current_limits = self.state.table.config.limits
            service = self.state.table.config.services.get(self.settings.service)
            if service is not None:
                self.home.cold_watch.take_service(service, self.settings.cold)
        own = self.state.directory.at(*self.settings.upstream)
        if own is not None:
            self.home.take_endpoint(own)
        zone = self.settings.zone
        evacuations = self.state.evacuations
        self.home.evacuate(zone in evacuations.zones, evacuations.ended_at(zone))
        near = [each for each in self.state.members() if each.zone == zone]
        self.duty.take_hosts(
            (each.host for each in near if not each.draining),
            (each.host for each in near if each.draining),
        )
        if self.duty.readers != self.readers_logged:
            self.readers_logged = self.duty.readers
            self.log.event("readers", hosts=",".join(self.duty.readers))
        self.spread.follow_readers(self.peers)
        self.peers.refresh()
        starts = (
            held.endpoint.incarnation for held in self.state.directory.held.values()
        )
        self.entry.attempts.placing.retain(starts)

    def listen(self) -> None:
        """Open the addresses of the settings."""
        servers = (
            (self.callers, self.settings.callers),
            (self.links, self.settings.links),
            (self.health, self.settings.health),
        )
        for server, (host, port) in servers:
            server.listen(host, port)

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.take_settings)
        self.listen()
        self.log.event(
            "start",
            node=self.settings.node,
            zone=self.settings.zone,
            service=self.settings.service,
            incarnation=self.incarnation,
        )
        # What was imported stays for ever; the collector need not look at it.
        gc.freeze()
        gc.enable()
        follower = asyncio.ensure_future(self.follower.run())
        follower.add_done_callback(self.follower_ended)
        self.tick_and_go_on()
        await self.stopped.wait()
        follower.cancel()
        self.log.event("end", node=self.settings.node)

    def follower_ended(self, task: asyncio.Task[None]) -> None:
        """Log the end of following, which only the end of the process allows."""
        if not task.cancelled() and task.exception() is not None:
            self.log.event("crash", error=repr(task.exception()))

    def tick_and_go_on(self) -> None:
        """Look at everything that time changes, again and again."""
        try:
            self.tick()
        except Exception as error:
            # One part's fault must not end the calls of all others.
            self.crashed(error)
        if not self.stopped.is_set():
            pause = self.tick_pause = REST_SECONDS if self.at_rest else TICK_SECONDS
            asyncio.get_running_loop().call_later(pause, self.tick_and_go_on)

    @property
    def at_rest(self) -> bool:
        """Return whether no call is under way at this node and none of its links."""
        busy = self.home.calls or self.peers.watched or self.stopping is not None
        return not busy

    def tick(self) -> None:
        """Look at everything that time changes."""
        now = clock.now()
        if now - self.ticked > PAUSE_SECONDS:
            self.log.event("pause", seconds=f"{now - self.ticked:.2f}")
            self.entry.vm_resumed(now)
            self.upstream.deadlines.vm_resumed(now)
            # Whatever was read before may be long out of date.
            self.follower.store.reconnect()
        self.loop_delay = max(0.0, now - self.ticked - self.tick_pause)
        self.ticked = now
        self.home.tick(now)
        self.state.tick(now)
        self.spread.tick(now)
        self.peers.tick(now)
        self.crash_news.tick(now)
        if now - self.callers_looked_at > CALLERS_SECONDS:
            self.callers_looked_at = now
            self.callers.tick(now)
        if self.stopping is not None:
            self.end_if_idle(now)

    def take_settings(self) -> None:
        """Read the settings anew."""
        try:
            settings = self.reload()
        except SettingsError as error:
            # The old settings stay in force.
            self.log.event("reload-failed", code=error.code, reason=str(error))
            return
        self.log.event("reload", changed=settings != self.settings)
        self.settings = settings
        self.entry.service = settings.service
        self.entry.attempts.regions = settings.regions
        self.entry.attempts.budgets.limits = settings.repeats
        for budget in self.entry.attempts.budgets.by_service.values():
            budget.limits = settings.repeats

    # Stopping.

    def stop(self) -> None:
        """Begin to stop: no new calls for the upstream, callers move away."""
        if self.stopping is not None:
            return
        self.stopping = clock.now()
        self.callers.closing = True
        self.entry.stop_at(self.stopping + self.settings.drain - LAST_SECONDS)
        self.log.event(
            "stop", running=self.home.admission.running, calls=len(self.home.calls)
        )

    def end_if_idle(self, now: float) -> None:
        """End once nobody waits for anything, or the time allowed is over."""
        assert self.stopping is not None
        since = now - self.stopping
        if since > self.settings.leave_after and not self.home.leaving:
            self.home.leaving = True
            self.links.announce_leaving()
        busy = self.callers.busy() or bool(self.home.calls)
        if since > self.settings.drain or (since > LINGER_SECONDS and not busy):
            self.stopped.set()
