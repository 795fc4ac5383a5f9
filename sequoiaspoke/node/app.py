"""One node: its listeners, configuration source and graceful shutdown."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from loguru import logger as log

from sequoiaspoke import __version__
from sequoiaspoke.descriptors import available_descriptors, limit_connections
from sequoiaspoke.listening import BACKLOG, bind, open_when_free
from sequoiaspoke.node import silence
from sequoiaspoke.node.admin import admin_server
from sequoiaspoke.node.entry import Entry
from sequoiaspoke.node.home import Home, HomeHandler
from sequoiaspoke.node.keyedhome import KeyedHome
from sequoiaspoke.node.metrics import CallCounters, Metrics
from sequoiaspoke.node.server import CallServer
from sequoiaspoke.node.spreadloop import SpreadSource
from sequoiaspoke.node.stopping import stop_times
from sequoiaspoke.node.upkeep import ConfigPoller, publish_load_metrics
from sequoiaspoke.node.watchall import PlatformWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.tcpserver import TCPServer

    from sequoiaspoke.node.config import ConfigSource
    from sequoiaspoke.settings.schema import Settings


def never() -> bool:
    """Return False; the default for a node that is not told to stop."""
    return False


class Node:
    """The process that runs beside one upstream."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.rng = random.Random()
        self.counters = CallCounters()
        self.config = config_source(settings, self.rng)
        self.home = Home(settings, self.counters, self.rng)
        self.keyed = KeyedHome(settings, self.home, self.config, self.rng)
        self.entry = Entry(settings, self.config, self.home, self.counters, self.rng)
        self.config_poller = ConfigPoller(settings, self.config, self.entry, self.home)
        self.callers = CallServer(self.entry, settings.limits)
        handler = HomeHandler(settings, self.home)
        self.grants = handler.grants
        self.mesh = CallServer(handler, settings.limits)
        self.metrics = Metrics()
        self.admin = admin_server(self)
        self.limit_connections()
        self.ports: dict[str, int] = {}
        self.started_at = time.time()
        self.draining = False

    def limit_connections(self) -> None:
        """Limit the connections that this node accepts to its descriptors.

        Links of other nodes are limited by `connections` of `[spread]`.
        """
        limits = limit_connections(available_descriptors(platform_limit=0))
        for name, server, limit in (
            ("call", self.callers.server, limits.callers),
            ("mesh", self.mesh.server, limits.nodes),
            ("admin", self.admin, limits.health),
        ):
            server.name = name
            server.connections.limit = limit

    @property
    def ready(self) -> bool:
        """Return whether the node can serve callers."""
        return self.config.verified and not self.draining

    async def start(self, stopping: Callable[[], bool] = never) -> bool:
        """Start the listeners, then follow the configuration.

        Ports may be taken for a while. Return False if `stopping` returns true while
        the node waits for them.

        Raises
        ------
        AddressInUseError
            A configured port stays taken.
        """
        sockets = await open_when_free(
            self.open_sockets,
            lambda reason: log.warning("address-taken", reason=reason),
            lambda waited: log.info("address-free", waited=f"{waited:.3f}"),
            stopping,
        )
        if sockets is None:
            return False
        self.ports = {name: each.getsockname()[1] for name, each in sockets.items()}
        await self.keyed.start(sockets.pop("witness"))
        for name, server in self.servers().items():
            server.add_sockets([sockets[name]])
        self.publish_metrics()
        await self.config.start()
        self.config_poller.start()
        node = self.settings.node
        log.info("node-started", node=node.name, zone=node.zone, **self.ports)
        return True

    def servers(self) -> dict[str, TCPServer]:
        """Return the servers by the names of their ports."""
        servers: dict[str, TCPServer] = {
            "call": self.callers.server,
            "mesh": self.mesh.server,
            "admin": self.admin,
        }
        if self.config.peer_server:
            servers["peer"] = self.config.peer_server
        return servers

    def open_sockets(self) -> dict[str, socket.socket]:
        """Return the sockets by the names of their ports; raise OSError.

        None listens before all are bound, that of the callers last.
        """
        node = self.settings.node
        addresses = {
            "call": (node.address, node.call_port),
            "mesh": (node.address, node.mesh_port),
            "admin": (node.admin_address, node.admin_port),
            "peer": (node.address, node.peer_port),
        }
        with ExitStack() as opened:
            sockets = {
                name: opened.enter_context(bind(*addresses[name]))
                for name in self.servers()
            }
            listeners = list(sockets.values())
            peer = sockets.get("peer")
            port = peer.getsockname()[1] if peer else node.peer_port
            witness = bind(node.address, port, socket.SOCK_DGRAM)
            sockets["witness"] = opened.enter_context(witness)
            for listener in reversed(listeners):
                listener.listen(BACKLOG)
            opened.pop_all()
        return sockets

    def publish_metrics(self) -> None:
        """Register the counters and gauges of every component."""
        self.metrics.calls(self.counters)
        publish_load_metrics(self.metrics, self.entry, self.home, self.grants.core)
        holder = self.config.holder
        self.metrics.count(
            "sequoiaspoke_config", "Configuration events", "event", holder.counters
        )
        for name, counters in self.config.counters.items():
            self.metrics.count(name, "Events of the spread", "event", counters)
        self.metrics.gauge(
            "sequoiaspoke_version", "Version in force", lambda: holder.version
        )
        self.metrics.gauge(
            "sequoiaspoke_in_flight", "Calls at the home", lambda: self.home.in_flight
        )
        self.metrics.gauge(
            "sequoiaspoke_crashed",
            "Calls that met an error of the program",
            self.crashed,
        )
        self.keyed.publish(self.metrics)

    async def stop(self) -> None:
        """Shut down without cutting off calls in flight.

        New calls are first refused as not run while the listeners stay open, so
        that other nodes choose other targets. Then the listener for callers and idle
        connections close, and calls in flight have the rest of the configured grace to
        finish. What still arrives and could outlast it is refused. The port for other
        nodes closes later, since only this node can answer retries of the keys that
        ran here.
        """
        if self.draining:
            return
        self.draining = True
        loop = asyncio.get_running_loop()
        times = stop_times(self.settings.node, loop.time())
        self.entry.stopping = times
        self.home.gate.admission.drain()
        self.keyed.core.drain()
        self.grants.drain()
        self.callers.drain()
        self.mesh.drain()
        log.info("node-draining", in_flight=self.in_flight())
        await asyncio.sleep(self.settings.node.drain)
        self.callers.server.stop()
        try:
            async with silence.timeout_at(times.answers_at):
                # The connections that were just accepted are idle, or bring requests.
                await silence.read_sockets()
                await self.callers.close_idle()
                await self.grants.wait_until_returned(times.answers_at - loop.time())
                await self.keyed.linger()
                self.mesh.server.stop()
                await silence.read_sockets()
                await self.mesh.close_idle()
                await self.wait_idle()
        except TimeoutError:
            log.warning("grace-over", in_flight=self.in_flight())
        # In the same step: a call that began later would be cut off. Other nodes
        # answer their callers themselves when their connections close.
        self.mesh.input_ended = True
        self.callers.cut_off()
        self.mesh.server.stop()
        self.config_poller.stop()
        await self.config.stop()
        self.admin.stop()
        for server in (self.callers.server, self.mesh.server, self.admin):
            await server.close_all_connections()
        self.keyed.close()
        self.entry.close()
        self.home.pool.close()
        self.metrics.close()
        log.info("node-stopped", node=self.settings.node.name)

    async def wait_idle(self) -> None:
        """Wait until no call is in flight, nor waits in a socket to be read."""
        await silence.read_sockets()
        while self.in_flight():
            await self.callers.wait_idle()
            await self.mesh.wait_idle()
            await silence.read_sockets()

    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self.callers.in_flight + self.mesh.in_flight

    def crashed(self) -> int:
        """Return the number of calls that failed with an unexpected exception."""
        return self.callers.crashed + self.mesh.crashed

    def status(self) -> dict[str, Any]:
        """Return the content of the status page."""
        source = self.config.status()
        holder = self.config.holder
        refused = holder.last_refused
        admission = self.home.gate.admission
        return {
            "program": __version__,
            "name": self.settings.node.name,
            "zone": self.settings.node.zone,
            "service": self.settings.upstream.service,
            "target": self.settings.upstream.target,
            "version": holder.version,
            "installed_at": holder.installed_at,
            "strategy": source.strategy,
            "learnt_from": source.learnt_from,
            "control_bytes_sent": source.control_bytes_sent,
            "control_bytes_received": source.control_bytes_received,
            "platform_reads": source.platform_reads,
            "verified": source.verified,
            "details": dict(source.details),
            "started_at": self.started_at,
            "draining": self.draining,
            "in_flight": self.in_flight(),
            "crashed": self.crashed(),
            "queued": len(admission.queue),
            "limit": admission.limit.current(),
            "ledger": len(self.keyed.core.ledger.entries),
            "ejected": list(self.entry.attempts.balancer.ejector.ejected()),
            "calls": dict(self.counters.calls),
            "refused": dict(self.counters.refused),
            "unknown": dict(self.counters.unknown),
            "retried": dict(self.counters.retried),
            "last_refused_version": refused.version if refused else None,
            "last_refused_reason": refused.reason if refused else None,
        }


def config_source(settings: Settings, rng: random.Random) -> ConfigSource:
    """Return the configuration source that the settings select."""
    if settings.spread.strategy == "watch-all":
        return PlatformWatch(settings, rng)
    return SpreadSource(settings, rng)
