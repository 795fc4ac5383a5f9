"""Callers of the demonstration: families, mourners and an officiant."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from uuid6 import uuid7

from sequoiaspoke.errors import Ran
from sequoiaspoke.node import headers as names

if TYPE_CHECKING:
    from sequoiaspoke.demo.deployment import Deployment

PAUSE_SECONDS = 0.02
TIMEOUT_SECONDS = 10.0
OK = 200
REDIRECTS = (301, 302, 303, 307, 308)


@dataclass(frozen=True)
class Errand:
    """What one kind of caller asks for, again and again."""

    caller: str
    method: str
    path: str
    keyed: bool = False


ERRANDS = (
    Errand("family", "GET", "/sportello/ceremony"),
    Errand("family abroad", "GET", "/videoteca/recording"),
    Errand("old link", "GET", "/archivio/recording"),
    Errand("mourner", "GET", "/cordoglio/book"),
    Errand("mourner with flowers", "POST", "/cordoglio/orders", keyed=True),
    Errand("officiant", "POST", "/regia/start", keyed=True),
)


@dataclass
class Tally:
    """What the callers saw.

    Attributes
    ----------
    lost : int
        Calls that ended without an answer, or with a wrong one.
    not_run : Counter of str
        Refusals by reason; these calls certainly did not run.
    unknown : Counter of str
        Failures by reason; these calls may have run.
    """

    sent: int = 0
    answered: int = 0
    redirected: int = 0
    lost: int = 0
    not_run: Counter[str] = field(default_factory=Counter)
    unknown: Counter[str] = field(default_factory=Counter)
    by_caller: Counter[str] = field(default_factory=Counter)
    answered_keys: set[str] = field(default_factory=set)
    not_run_keys: set[str] = field(default_factory=set)


class Traffic:
    """Callers that go on until they are told to stop."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.tally = Tally()
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Let one caller of each kind begin in each zone."""
        loop = asyncio.get_running_loop()
        sites = self.deployment.sites
        zones = {site.zone for site in sites}
        for errand in ERRANDS:
            for zone in sorted(zones):
                self.tasks.append(loop.create_task(self.repeat(errand, zone)))

    async def stop(self) -> None:
        """Let every caller finish the call it is in."""
        self.stopping = True
        await asyncio.gather(*self.tasks)
        self.client.close()

    async def repeat(self, errand: Errand, zone: str) -> None:
        """Call again and again through random nodes of a zone."""
        while not self.stopping:
            sites = [
                site
                for site in self.deployment.sites
                if site.zone == zone and site.node.ready
            ]
            site = self.rng.choice(sites)
            key = f"{zone}/{uuid7()}" if errand.keyed else ""
            await self.call(errand, site.node.ports["call"], key)
            await asyncio.sleep(self.rng.uniform(0, 2 * PAUSE_SECONDS))

    async def call(self, errand: Errand, port: int, key: str) -> None:
        """Make one call and note what came of it."""
        request = make_request(errand, port, key)
        self.tally.sent += 1
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            self.tally.lost += 1
            return
        reason = response.headers.get(names.REASON)
        if reason is None and response.code in REDIRECTS:
            self.tally.redirected += 1
        elif reason is None and response.code == OK:
            self.note_answer(errand, key, response.body, request.body)
        elif response.headers.get(names.RAN) == Ran.NOT_RUN.value:
            self.tally.not_run[reason or str(response.code)] += 1
            self.tally.not_run_keys.add(key)
        elif reason:
            self.tally.unknown[reason] += 1
        else:
            self.tally.lost += 1

    async def probe(self, errand: Errand) -> str:
        """Make one call outside the tally and describe its answer."""
        port = self.deployment.sites[0].node.ports["call"]
        key = f"{self.deployment.sites[0].zone}/{uuid7()}" if errand.keyed else ""
        request = make_request(errand, port, key)
        response = await self.client.fetch(request, raise_error=False)
        place = response.headers.get("Location", "")
        ran = response.headers.get(names.RAN, "")
        words = (errand.method, errand.path, str(response.code), place, ran)
        return " ".join(word for word in words if word)

    def note_answer(
        self, errand: Errand, key: str, answer: bytes, body: bytes | None
    ) -> None:
        """Check that the answer is the one to this caller's own call."""
        if body and str(zlib.crc32(body)).encode() not in answer:
            self.tally.lost += 1
            return
        self.tally.answered += 1
        self.tally.by_caller[errand.caller] += 1
        self.tally.answered_keys.add(key)

    def doubled(self) -> int:
        """Return how many keys ran more than once, or ran though refused."""
        runs: Counter[str] = Counter()
        for site in self.deployment.sites:
            runs.update(site.upstream.runs)
        twice = sum(1 for count in runs.values() if count > 1)
        untrue = sum(1 for key in self.tally.not_run_keys if key and runs[key])
        return twice + untrue

    def missing(self) -> int:
        """Return how many keys were answered though they never ran."""
        runs: Counter[str] = Counter()
        for site in self.deployment.sites:
            runs.update(site.upstream.runs)
        return sum(1 for key in self.tally.answered_keys if key and not runs[key])


def make_request(errand: Errand, port: int, key: str) -> HTTPRequest:
    """Build the request of an errand."""
    return HTTPRequest(
        f"http://127.0.0.1:{port}{errand.path}",
        method=errand.method,
        headers={names.IDEMPOTENCY_KEY: key} if key else {},
        body=f"order {key}".encode() if errand.keyed else None,
        follow_redirects=False,
        request_timeout=TIMEOUT_SECONDS,
    )
