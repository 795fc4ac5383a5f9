"""Assemble a sidecar and run it until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
from functools import partial
from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.answerroom import AnswerRoom
from sequoiaspoke.core.mesh.memory import MemoryAccount, memory_limit
from sequoiaspoke.core.mesh.reading import DEFAULT_ACT_SECONDS, ReadingDuty
from sequoiaspoke.descriptors import available_descriptors, limit_connections
from sequoiaspoke.errors import SettingsError
from sequoiaspoke.listening import listen_on_all, open_when_free
from sequoiaspoke.polling import PolledCall
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.answerlog import AnswerLog
from sequoiaspoke.sidecar.callerserver import CallerServer
from sequoiaspoke.sidecar.crashgossip import CrashGossip
from sequoiaspoke.sidecar.entry import Entry
from sequoiaspoke.sidecar.follower import Follower
from sequoiaspoke.sidecar.frames import TcpDialer
from sequoiaspoke.sidecar.healthserver import HealthPages
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.linkserver import LinkServer
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.memorylog import MemoryLog
from sequoiaspoke.sidecar.metrics import SidecarMetrics
from sequoiaspoke.sidecar.peers import Peers
from sequoiaspoke.sidecar.pending import LinkIdentity
from sequoiaspoke.sidecar.settings import apply_reload
from sequoiaspoke.sidecar.shutdown import Shutdown
from sequoiaspoke.sidecar.spread import Spread
from sequoiaspoke.sidecar.state import MeshState
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.sidecar.versiongossip import VersionGossip

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sequoiaspoke.sidecar.logs import DroppingOutput
    from sequoiaspoke.sidecar.settings import SidecarSettings
    from sequoiaspoke.sidecar.source import ItemDecoder, ItemStore

# Seconds between two ticks, with and without calls in progress. A final answer may be
# up to half a second late. A node of a large fleet is idle most of the time, and a tick
# without work takes a tenth of the processor time of a call.
TICK_SECONDS, IDLE_TICK_SECONDS = 0.1, 0.3
# Seconds between two checks of the callers' connections. Their timeouts are seconds
# long, and there may be hundreds of them.
CALLERS_TICK_SECONDS = 0.5
# If more seconds than this pass between two ticks, the VM was paused.
PAUSE_SECONDS = 1.0
# Delay of a tick, in seconds, from which it is logged: less than a fifth of a second
# does not show in what callers see.
STALL_SECONDS = 0.2
# Fraction of the time within which a version must be in force. A node whose state was
# not confirmed for longer refuses calls without a route in place of answering 404.
NO_ROUTE_AGE_FRACTION = 0.75

# Characters of a new header's value that are logged.
MAX_HEADER_TEXT = 64


class Sidecar:
    """The parts of one sidecar process and their life cycle."""

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
        self.memory = MemoryAccount(memory_limit(settings.memory_mb))
        self.incarnation = rng.getrandbits(62)
        self.state = MeshState(decoder, self.log, self.on_state_change)
        self.state.max_no_route_age = NO_ROUTE_AGE_FRACTION * settings.act_within
        host, port = settings.upstream
        room = AnswerRoom(self.memory)
        self.upstream = Upstream(host, port, settings.names, room)
        self.upstream.new_headers.on_new = self.log_upstream_header
        if store.new_headers is not None:
            store.new_headers.on_new = self.log_store_header
        self.home = Home(self.upstream, self.state.directory, self.log, self.memory)
        self.home.call_id_header = settings.names.call_id
        self.upstream.answer_log = AnswerLog(self.log, self.home.counts)
        self.home.expect_earlier_calls()
        self.home.admission.transfers.set_link_mbps(settings.link_mbps)
        identity = LinkIdentity(settings.links[0], settings.zone, self.incarnation)
        self.duty = ReadingDuty(
            settings.links[0],
            settings.zone,
            settings.act_within / DEFAULT_ACT_SECONDS,
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
        self.home.reachable = self.peers.reachable
        self.crash_gossip = CrashGossip(
            self.home.crash_guard.quarantine,
            self.home.crash_guard.record_reports,
            self.spread,
            self.peers,
            self.duty,
        )
        self.version_gossip = VersionGossip(self.state, self.peers, self.duty)
        self.home.crash_guard.on_reports = self.crash_gossip.broadcast
        self.spread.crash_gossip = self.crash_gossip
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
        self.callers = CallerServer(
            self.entry.handle, self.log_unexpected_error, host, self.memory
        )
        self.callers.policy = self.entry
        self.links = LinkServer(
            self.home, self.spread, self.incarnation, self.log, room
        )
        self.links.on_hello = self.peers.node_seen
        self.metrics = SidecarMetrics(self, output)
        pages = HealthPages(
            settings.health_path,
            self.unready_reason,
            self.metrics.page,
            self.status,
            self.home.crash_guard.release,
        )
        self.health = CallerServer(
            pages.handle, self.log_unexpected_error, memory=self.memory
        )
        self.limit_connections()
        self.follower = Follower(store, self.state, self.duty, rng)
        self.shutdown = Shutdown(
            self.callers, self.links, self.entry, self.home, self.log
        )
        self.memory_log = MemoryLog(
            self.memory, self.home, self.links, self.peers, self.log
        )
        self.ended = False
        self.ticked_at = clock.now()
        # When the timer of the next tick fired; infinite if it has not.
        self.polled_at = inf
        self.loop_delay = 0.0
        self.tick_interval = 0.0
        self.callers_ticked_at = 0.0
        self.applied_state = (0, 0, 0, 0)
        self.readers_logged: tuple[str, ...] = ()

    def limit_connections(self) -> None:
        """Limit the connections that this node accepts to its descriptors."""
        limits = limit_connections(available_descriptors(self.settings.descriptors))
        for name, server, limit in (
            ("callers", self.callers, limits.callers),
            ("health", self.health, limits.health),
            ("links", self.links, limits.unknown_links),
        ):
            server.max_connections = limit
            server.on_limited = partial(self.log_limited, name, limit)

    def log_limited(self, port: str, limit: int, closed: int) -> None:
        """Log that connections were closed, as there were too many."""
        self.log.event("connections-limited", port=port, limit=limit, closed=closed)

    def log_unexpected_error(self, error: BaseException) -> None:
        """Log an unhandled exception."""
        self.log.event("crash", error=repr(error))

    def log_upstream_header(self, name: str, value: str) -> None:
        """Log a header that the upstream's answers had not had before."""
        self.log.event("upstream-header", name=name, value=value[:MAX_HEADER_TEXT])

    def log_store_header(self, name: str, value: str) -> None:
        """Log a header that the store's answers had not had before."""
        self.log.event("store-header", name=name, value=value[:MAX_HEADER_TEXT])

    def status(self) -> bytes:
        """Return the page that the status command reads."""
        from sequoiaspoke.sidecar.statuspage import status_page

        return status_page(self)

    def unready_reason(self) -> str:
        """Return why this node is not ready for callers, empty if it is."""
        if self.stopping:
            return "stopping"
        return "" if self.state.complete else "uninformed"

    def on_state_change(self) -> None:
        """Apply and publish a change or a confirmation of the known state."""
        state = self.state
        current = (
            state.directory.serial,
            state.version,
            self.duty.rates_serial,
            state.evacuations.serial,
        )
        if current != self.applied_state:
            self.applied_state = current
            self.apply_change()
        self.spread.publish()

    def apply_change(self) -> None:
        """Apply the changed state to all parts of the node."""
        if self.state.table is not None:
            self.callers.current_limits = self.state.table.config.limits
            self.home.admission.load_shedding = self.state.table.has_large_bodies
            service = self.state.table.config.services.get(self.settings.service)
            if service is not None:
                self.home.health_monitor.set_service(service, self.settings.cold)
        endpoint = self.state.directory.at_address(*self.settings.upstream)
        if endpoint is not None:
            self.home.update_endpoint(endpoint)
        zone = self.settings.zone
        evacuations = self.state.evacuations
        self.home.set_evacuated(
            zone in evacuations.zones, evacuations.end_revision(zone)
        )
        zone_members = [each for each in self.state.members() if each.zone == zone]
        self.duty.set_hosts(
            (each.host for each in zone_members if not each.draining),
            (each.host for each in zone_members if each.draining),
        )
        if self.duty.readers != self.readers_logged:
            self.readers_logged = self.duty.readers
            self.log.event(
                "readers",
                hosts=",".join(self.duty.readers),
                rates=",".join(self.duty.describe_rate(h) for h in self.duty.readers),
                known=len(self.duty.link_rates),
                nodes=len(self.duty.hosts),
            )
            self.spread.announce_rates(self.peers)
        self.spread.follow_readers(self.peers)
        self.peers.refresh()
        incarnations = (
            record.endpoint.incarnation
            for record in self.state.directory.records.values()
        )
        self.entry.attempts.balancer.retain(incarnations)

    async def listen(self) -> bool:
        """Listen on the addresses of the settings, which may be taken for a while.

        Return False if the node was told to stop meanwhile.

        Raises
        ------
        AddressInUseError
            An address stays taken.
        """
        addresses = self.settings.callers, self.settings.links, self.settings.health
        listeners = await open_when_free(
            partial(listen_on_all, addresses),
            lambda reason: self.log.event("address-taken", reason=reason),
            lambda waited: self.log.event("address-free", waited=f"{waited:.3f}"),
            lambda: self.stopping,
        )
        if listeners is None:
            return False
        servers = self.callers, self.links, self.health
        for server, listener in zip(servers, listeners, strict=True):
            server.add_sockets([listener])
        return True

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        # A program may block it until now.
        told_to_stop = signal.SIGTERM in signal.sigpending()
        if not told_to_stop:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGTERM})
        if told_to_stop or not await self.listen():
            self.log.event("stopped-early", node=self.settings.node)
            return
        # The wait for the addresses is no pause.
        self.ticked_at = clock.now()
        self.log.event(
            "start",
            node=self.settings.node,
            zone=self.settings.zone,
            service=self.settings.service,
            incarnation=self.incarnation,
        )
        # Imported modules are never freed, so the garbage collector can skip them.
        gc.freeze()
        gc.enable()
        follower = asyncio.ensure_future(self.follower.run())
        follower.add_done_callback(self.follower_ended)
        self.run_ticks()
        await self.shutdown.finish()
        self.ended = True
        follower.cancel()
        self.shutdown.log_end(self.settings.node)

    def follower_ended(self, task: asyncio.Task[None]) -> None:
        """Log an error that ended the follower before the process stops."""
        if not task.cancelled() and task.exception() is not None:
            self.log.event("crash", error=repr(task.exception()))

    def run_ticks(self) -> None:
        """Tick once the sockets have been read, and go on until the process stops."""
        self.polled_at = clock.now()
        PolledCall(self.run_tick)

    def run_tick(self) -> None:
        """Tick, and schedule the next tick until the process stops."""
        try:
            self.tick()
        except Exception as error:
            # An error in one part must not stop the others and end all calls.
            self.log_unexpected_error(error)
        if not self.ended:
            pause = self.tick_interval = (
                IDLE_TICK_SECONDS if self.idle else TICK_SECONDS
            )
            asyncio.get_running_loop().call_later(pause, self.run_ticks)

    @property
    def idle(self) -> bool:
        """Return whether no call is in progress and the node is not stopping."""
        return not (self.home.calls or self.peers.active_links or self.stopping)

    @property
    def stopping(self) -> bool:
        """Return whether the node was told to stop."""
        return self.shutdown.began_at is not None

    def tick(self) -> None:
        """Run the periodic work of all parts."""
        now = clock.now()
        # Reading the sockets takes several iterations, which may be long.
        due, self.polled_at = min(now, self.polled_at), inf
        longest = max(due - self.ticked_at, now - due)
        if longest > PAUSE_SECONDS:
            self.log.event("pause", seconds=f"{longest:.2f}")
            self.entry.vm_resumed(now)
            self.upstream.deadlines.vm_resumed(now)
            self.home.overdue_timer.deadlines.vm_resumed(now)
            self.shutdown.timers.vm_resumed(now)
            # What was read before the pause may be out of date.
            self.follower.store.reconnect()
        self.loop_delay = max(0.0, due - self.ticked_at - self.tick_interval)
        if STALL_SECONDS < self.loop_delay <= PAUSE_SECONDS:
            self.log.event("stall", seconds=f"{self.loop_delay:.3f}")
        self.ticked_at = now
        self.home.tick(now)
        self.state.tick(now)
        self.spread.tick(now)
        self.peers.tick(now)
        self.crash_gossip.tick(now)
        self.version_gossip.tick(now)
        if now - self.callers_ticked_at > CALLERS_TICK_SECONDS:
            self.callers_ticked_at = now
            self.callers.tick(now)
            self.health.tick(now)
            self.links.report_limited()
        self.memory_log.tick(now)
        self.shutdown.tick(now)

    def reload_settings(self) -> None:
        """Reload the settings."""
        try:
            read = self.reload()
        except SettingsError as error:
            # The previous settings remain in effect.
            self.log.event("reload-failed", code=error.code, reason=str(error))
            return
        settings, kept = apply_reload(self.settings, read)
        self.log.event("reload", changed=settings != self.settings)
        for name in kept:
            self.log.event(
                "setting-kept",
                name=name,
                in_force=getattr(settings, name),
                in_file=getattr(read, name),
            )
        self.settings = settings
        self.memory.limit = memory_limit(settings.memory_mb)
        self.limit_connections()
        self.home.admission.transfers.set_link_mbps(settings.link_mbps)
        self.entry.service = settings.service
        self.entry.attempts.regions = settings.regions
        self.entry.attempts.budgets.limits = settings.repeats
        for budget in self.entry.attempts.budgets.by_service.values():
            budget.limits = settings.repeats
        self.apply_change()

    def stop(self) -> None:
        """Begin to stop.

        If the process got no processor when the signal came, either the next tick is
        overdue or the last one was late.
        """
        overdue = clock.now() - self.ticked_at - self.tick_interval
        self.shutdown.begin(self.settings, max(self.loop_delay, overdue))
