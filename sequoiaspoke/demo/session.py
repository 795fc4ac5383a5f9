"""The session: rules are edited, reordered and published while calls flow."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from sequoiaspoke.demo.deployment import Deployment, load_rules
from sequoiaspoke.demo.traffic import ERRANDS, Traffic

if TYPE_CHECKING:
    from sequoiaspoke.demo.deployment import Site

Say = Callable[[str], None]
CONVERGENCE_TIMEOUT = 10.0  # seconds
FLOW_SECONDS = 1.5  # between two changes
SEED = 7


class Session:
    """One run of the demonstration.

    Attributes
    ----------
    events : list of str
        What happened, without times and ports; the same in every run.
    """

    def __init__(self, say: Say, flow_seconds: float = FLOW_SECONDS) -> None:
        self.say = say
        self.flow_seconds = flow_seconds
        self.events: list[str] = []
        self.deployment = Deployment()
        self.traffic = Traffic(self.deployment, SEED)

    async def run(self) -> bool:
        """Run to the end; return whether no call was lost or doubled."""
        try:
            await self.deployment.start()
            self.event(f"started {len(self.deployment.sites)} nodes in 3 zones")
            self.deployment.publish_vms()
            await self.publish("the first rules", "1-first.ini")
            self.traffic.start()
            await asyncio.sleep(self.flow_seconds)
            await self.publish("edited rules", "2-edited.ini")
            await asyncio.sleep(self.flow_seconds)
            await self.leave("videoteca-2", "2-edited.ini")
            await asyncio.sleep(self.flow_seconds)
            await self.publish("reordered rules", "3-reordered.ini")
            await asyncio.sleep(self.flow_seconds)
            await self.traffic.stop()
            self.event("callers have stopped")
            return self.report()
        finally:
            await self.deployment.stop()

    def event(self, text: str, detail: str = "") -> None:
        """Note an event, and say it with its changing details."""
        self.events.append(text)
        self.say(f"* {text}{detail}")

    async def publish(self, what: str, file: str) -> None:
        """Publish rules and wait until every node enforces them."""
        version = self.deployment.publish(load_rules(file))
        published = time.time()
        await self.deployment.converged(version, CONVERGENCE_TIMEOUT)
        await self.deployment.keys_run(CONVERGENCE_TIMEOUT)
        times = [
            site.node.config.holder.installed_at - published
            for site in self.deployment.sites
        ]
        self.event(
            f"version {version} with {what} is in force at every node",
            f" after {max(times) * 1000:.0f} ms",
        )
        for site in sorted(self.deployment.sites, key=lambda each: each.name):
            self.events.append(f"  version={version} node={site.name}")
        for errand in ERRANDS:
            outcome = await self.traffic.probe(errand)
            self.events.append(f"  {errand.caller}: {outcome}")

    async def leave(self, target: str, file: str) -> None:
        """Let an upstream leave while calls go to it."""
        site = next(each for each in self.deployment.sites if each.target == target)
        site.leaving = True
        self.deployment.publish_vms()
        await self.publish(f"{target} leaving", file)
        await site.node.stop()
        site.upstream.drain()
        self.event(f"{target} has left")
        self.deployment.sites.remove(site)
        await site.upstream.stop()
        self.gone(site)

    def gone(self, site: Site) -> None:
        """Keep the runs that a target counted before it left."""
        self.deployment.sites[0].upstream.runs.update(site.upstream.runs)

    def report(self) -> bool:
        """Say what a person wants to see."""
        tally = self.traffic.tally
        self.say("")
        self.say(f"{'node':34}{'zone':16}{'version':>8}{'calls at entry':>16}")
        calls: Counter[str] = Counter()
        retried: Counter[str] = Counter()
        for site in self.deployment.sites:
            counters = site.node.counters
            calls.update(counters.calls)
            retried.update(counters.retried)
            entered = sum(counters.calls.values())
            version = site.node.config.holder.version
            self.say(f"{site.name:34}{site.zone:16}{version:8}{entered:16}")
        self.say("")
        self.say(f"calls by service       {show(calls)}")
        self.say(f"answers by caller      {show(tally.by_caller)}")
        self.say(f"retried by reason      {show(retried)}")
        self.say(f"refused, not run       {show(tally.not_run)}")
        self.say(f"failed, may have run   {show(tally.unknown)}")
        lost, doubled = tally.lost + self.traffic.missing(), self.traffic.doubled()
        self.say(
            f"sent {tally.sent}, answered {tally.answered}, "
            f"redirected {tally.redirected}, lost {lost}, doubled {doubled}"
        )
        self.event(f"lost {lost}, doubled {doubled}")
        crashed = sum(site.node.crashed() for site in self.deployment.sites)
        if crashed:
            self.say(f"{crashed} calls met an error of the program; see the log")
        return lost == 0 and doubled == 0 and crashed == 0


def show(counter: Counter[str]) -> str:
    """Return a counter on one line."""
    pairs = [f"{name}={count}" for name, count in sorted(counter.items())]
    return ", ".join(pairs) or "none"
