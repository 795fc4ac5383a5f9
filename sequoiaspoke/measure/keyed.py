"""Measure keyed calls against real processes: doubled, untrue, refused, slow.

Callers mint a key for each call and repeat it through other nodes until they know
what became of it. The upstreams count the runs of each key, and are not restarted,
so that the count is whole.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.core.idempotency.key import mint_key
from sequoiaspoke.errors import CallError, MeasureError, Ran
from sequoiaspoke.measure.bench import Bench
from sequoiaspoke.measure.keyedreport import (
    ATTEMPT_SECONDS,
    KEYED_PATH,
    KeyedPlan,
    KeyedReport,
    Tally,
    count,
)
from sequoiaspoke.measure.plan import CALL_PORT, ZONES
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.node.wholebody import WholeBody
from sequoiaspoke.settings.schema import LimitSettings

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.model import Vm
    from sequoiaspoke.node.client import Answer

PLAIN_PATH = "/service-0/"
FAULTS = ("none", "platform-outage", "rolling", "rolling-moves")
START_SECONDS = 15.0  # until every home of a zone that starts at once runs new keys
ATTEMPTS = 6
KEYS = 3  # for one call, each after the one before was told not-run
PAUSE = 0.2  # seconds before a repeat
TURN_SECONDS = 10.0  # from one VM's fault to the next
STOPPED_SECONDS = 5.0  # longer than the window
DOWN_SECONDS = 1.0
CHANGE_SECONDS = 5.0
PLAIN_EVERY = 10  # keyed calls to one without a key
SEED = 11
# Reasons after which a repeat cannot learn more.
FINAL = frozenset(
    {"key-too-old", "key-outcome-unknown", "issuer-gone", "answer-not-kept"}
)


async def measure_keyed(
    nodes: int, calls: int, rate: float, fault: str, issued: bool
) -> KeyedReport:
    """Run the whole measurement with processes of its own.

    Raises
    ------
    MeasureError
        The plan cannot be measured, or the fleet does not start.
    """
    if fault not in FAULTS:
        raise MeasureError(f"fault: found {fault}; allowed: {', '.join(FAULTS)}")
    plan = KeyedPlan(nodes, 1, nodes, moves=fault == "rolling-moves")
    async with Bench(plan) as bench:
        for vm in bench.plan.vms():
            await bench.start_upstream(vm)
        await asyncio.sleep(START_SECONDS)
        return await KeyedMeasurement(bench, calls, rate, fault, issued).run()


class KeyedMeasurement:
    """Callers at a steady rate, while nodes fail in turn and versions come."""

    def __init__(
        self, bench: Bench, calls: int, rate: float, fault: str, issued: bool
    ) -> None:
        self.bench = bench
        self.calls = calls
        self.rate = rate
        self.fault = fault
        self.issued = issued
        self.issued_keys: list[str] = []
        self.rng = random.Random(SEED)
        self.tally = Tally()
        self.away: set[str] = set()
        self.faults_made = 0
        limits = LimitSettings()
        self.pools = {
            vm.name: Pool(Address(vm.address, CALL_PORT), limits)
            for vm in bench.vms.values()
        }

    async def run(self) -> KeyedReport:
        """Measure and report."""
        background = [asyncio.ensure_future(self.change())]
        if self.fault.startswith("rolling"):
            background.append(asyncio.ensure_future(self.roll()))
        elif self.fault == "platform-outage":
            await self.bench.control.fault("down=unavailable")
        try:
            await self.call_all()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            for pool in self.pools.values():
                pool.close()
        return await self.report()

    async def call_all(self) -> None:
        """Start calls at the rate and wait for all of them."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        running = []
        for number in range(self.calls):
            await asyncio.sleep(max(0.0, began + number / self.rate - loop.time()))
            running.append(asyncio.ensure_future(self.call()))
            if number % PLAIN_EVERY == 0:
                running.append(asyncio.ensure_future(self.plain_call()))
        await asyncio.gather(*running)

    async def change(self) -> None:
        """Publish a version every few seconds."""
        while self.fault != "platform-outage":
            await asyncio.sleep(CHANGE_SECONDS)
            await self.bench.publish()

    async def roll(self) -> None:
        """Kill or stop one node after the other, each zone in turn."""
        vms = sorted(self.bench.vms.values(), key=lambda vm: vm.name)
        while True:
            for vm in vms:
                await asyncio.sleep(TURN_SECONDS)
                await self.disturb(vm)
                self.faults_made += 1

    async def disturb(self, vm: Vm) -> None:
        """Stop a node for longer than its window, or kill it and start it anew."""
        process = self.bench.nodes[vm.name]
        if self.faults_made % 2:
            process.pause()
            await asyncio.sleep(STOPPED_SECONDS)
            process.resume()
            return
        process.kill()
        await asyncio.sleep(DOWN_SECONDS)
        self.bench.start_node(vm)

    async def call(self) -> None:
        """Make one keyed call; what was not run is sent again under a new key."""
        told = Ran.NOT_RUN
        for _ in range(KEYS):
            told = await self.settle(await self.new_key())
            if told is not Ran.NOT_RUN:
                break
            await asyncio.sleep(PAUSE)
        self.tally.ended[told] += 1

    async def settle(self, key: str) -> Ran:
        """Send a call and repeat it with its key until the outcome is known."""
        began = time.monotonic()
        told, reason = Ran.OUTCOME_UNKNOWN, ""
        for attempt in range(ATTEMPTS):
            told, reason = await self.attempt(key, attempt == 0)
            if told is not Ran.OUTCOME_UNKNOWN or reason in FINAL:
                break
            await asyncio.sleep(PAUSE)
        self.tally.told[key] = told
        if reason:
            self.tally.reasons[reason] += 1
        else:
            self.tally.latency.add(time.monotonic() - began)
        return told

    async def new_key(self) -> str:
        """Mint a key, or take one that a node issued."""
        if self.issued and not self.issued_keys:
            await self.fetch_keys()
        if self.issued_keys:
            return self.issued_keys.pop()
        return mint_key(self.rng.choice(ZONES), time.time(), self.rng)

    async def fetch_keys(self) -> None:
        """Ask any node for keys; without an answer a key is minted."""
        text = await self.get(names.KEYS_PATH + "service-0")
        self.issued_keys += text.decode().split()

    async def get(self, path: str) -> bytes:
        """Return an answer's body, empty without a whole one."""
        headers = HTTPHeaders({"Host": "once"})
        line = RequestStartLine("GET", path, "HTTP/1.1")
        pool = self.pools[self.rng.choice(sorted(self.pools))]
        deadline = asyncio.get_running_loop().time() + ATTEMPT_SECONDS
        try:
            answer = await pool.call(line, headers, None, deadline)
            text = await read(answer)
        except CallError:
            return b""
        return b"" if names.REASON in answer.headers else text

    async def plain_call(self) -> None:
        """Make a call without a key, for its latency."""
        began = time.monotonic()
        if await self.get(PLAIN_PATH):
            self.tally.plain_latency.add(time.monotonic() - began)

    async def attempt(self, key: str, first: bool) -> tuple[Ran, str]:
        """Send a call through any node and return what it tells, and why."""
        self.tally.attempts += 1
        body = key.encode()
        headers = HTTPHeaders({"Host": "once", names.IDEMPOTENCY_KEY: key})
        headers["Content-Length"] = str(len(body))
        if first:
            headers[names.IDEMPOTENCY_ATTEMPT] = names.FIRST_ATTEMPT
        line = RequestStartLine("POST", KEYED_PATH, "HTTP/1.1")
        pool = self.pools[self.rng.choice(sorted(self.pools))]
        deadline = asyncio.get_running_loop().time() + ATTEMPT_SECONDS
        try:
            answer = await pool.call(line, headers, WholeBody(body), deadline)
            async with asyncio.timeout_at(deadline):
                text = await read(answer)
        except CallError as error:
            return Ran.OUTCOME_UNKNOWN, error.code
        except TimeoutError:
            return Ran.OUTCOME_UNKNOWN, "caller-timeout"
        reason = answer.headers.get(names.REASON, "")
        told = Ran(answer.headers.get(names.RAN, Ran.OUTCOME_UNKNOWN.value))
        if told is Ran.RAN and not reason and key.encode() not in text:
            self.tally.wrong_answers += 1
        return told, reason

    async def report(self) -> KeyedReport:
        """Compare what callers were told with what the upstreams counted."""
        runs: Counter[str] = Counter()
        for control in self.bench.upstream_controls.values():
            runs.update((await control.report())["runs"])
        told = self.tally.told
        by_ran = self.tally.ended
        refused = self.calls - by_ran[Ran.RAN]
        return KeyedReport(
            nodes=self.bench.plan.nodes,
            fault=self.fault,
            issued=self.issued,
            calls=self.calls,
            keys=len(told),
            attempts=self.tally.attempts,
            answered=by_ran[Ran.RAN],
            not_run=by_ran[Ran.NOT_RUN],
            unknown=by_ran[Ran.OUTCOME_UNKNOWN],
            refused_percent=round(100 * refused / self.calls, 3),
            reasons=dict(self.tally.reasons),
            doubled=sum(1 for key in told if runs[key] > 1),
            false_not_run=count(told, Ran.NOT_RUN, runs, ran=True),
            missing=count(told, Ran.RAN, runs, ran=False),
            wrong_answers=self.tally.wrong_answers,
            unknown_that_ran=count(told, Ran.OUTCOME_UNKNOWN, runs, ran=True),
            faults_made=self.faults_made,
            versions=self.bench.version,
            p50_s=self.tally.latency.at(50),
            p99_s=self.tally.latency.at(99),
            plain_p50_s=self.tally.plain_latency.at(50),
            plain_p99_s=self.tally.plain_latency.at(99),
            load_average=round(os.getloadavg()[0], 1),
        )


async def read(answer: Answer) -> bytes:
    """Read a whole answer and give its connection back."""
    try:
        text = b""
        while chunk := await answer.body.get():
            text += chunk
        return text
    finally:
        answer.close()
