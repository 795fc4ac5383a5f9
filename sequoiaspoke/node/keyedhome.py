"""The home side of a keyed call: run it once, and give every repeat its answer."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from loguru import logger as log

from sequoiaspoke.core.idempotency.calls import (
    Identity,
    Join,
    KeptAnswer,
    KeyedCall,
    Refuse,
    Replay,
)
from sequoiaspoke.core.idempotency.home import HomeCore
from sequoiaspoke.core.idempotency.key import issue_key, parse_key
from sequoiaspoke.core.idempotency.ledger import State
from sequoiaspoke.core.idempotency.witnesses import Witness
from sequoiaspoke.errors import (
    AnswerNotKeptError,
    CallError,
    DeadlineNotRunError,
    DeadlineUnknownError,
    DrainingError,
    WrongHomeError,
)
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.keyedwork import (
    Work,
    fingerprint,
    read_body,
    refusal,
    replayed,
)
from sequoiaspoke.node.wholebody import WholeBody
from sequoiaspoke.node.witnesslink import WitnessLink, moment

if TYPE_CHECKING:
    import random

    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.node.config import ConfigSource
    from sequoiaspoke.node.home import Home, HomeCall
    from sequoiaspoke.node.metrics import Metrics
    from sequoiaspoke.settings.schema import Settings

MILLISECONDS = 1000
BATCH = 20  # issued keys in one answer; they are good for the retention
MINT_STEP = 0.001  # seconds; a key's minted time is rounded down to it


class KeyedHome:
    """Run each key of this VM's target at most once."""

    def __init__(
        self,
        settings: Settings,
        home: Home,
        config: ConfigSource,
        rng: random.Random,
    ) -> None:
        self.settings = settings.idempotency
        self.home = home
        self.rng = rng
        node, upstream = settings.node, settings.upstream
        incarnation = int(time.time() * MILLISECONDS)
        identity = Identity(
            node.name, node.zone, upstream.service, upstream.target, incarnation
        )
        self.core = HomeCore(self.settings, identity)
        started = moment().steady
        self.witness = Witness(self.settings, node.name, node.zone, started)
        self.link = WitnessLink(config, self.core, self.witness)
        self.works: dict[str, Work] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.counters: Counter[str] = Counter()
        home.keyed = self

    async def start(self, address: str, port: int) -> int:
        """Begin to ask and answer as a witness; return the port."""
        return await self.link.listen(address, port)

    async def linger(self) -> None:
        """Wait for calls whose callers may have gone, and then for their repeats."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        ended = self.core.ledger.ended
        while ended:
            left = ended[-1].finished + self.settings.linger - moment().steady
            if left <= 0:
                return
            await asyncio.sleep(left)

    def ready(self) -> bool:
        """Return whether keys minted now may run here."""
        self.link.refresh()
        if not self.link.is_needed():
            return True
        now = moment()
        tenure = self.core.tenure
        since = tenure.begins() + self.settings.clock_margin + MINT_STEP
        return tenure.is_open(now) and since <= now.wall

    def close(self) -> None:
        """Fall silent and give up what still runs."""
        self.link.close()
        for task in self.tasks:
            task.cancel()

    def publish(self, metrics: Metrics) -> None:
        """Put the counters on the metrics page."""
        metrics.count(
            "sequoiaspoke_keyed", "Keyed calls at the home", "event", self.counters
        )
        metrics.count("sequoiaspoke_witness", "Datagrams", "event", self.link.counters)
        metrics.gauge(
            "sequoiaspoke_window_open",
            "Whether new keys may run here",
            lambda: float(self.core.status(moment()).window_open),
        )
        metrics.gauge(
            "sequoiaspoke_ledger_keys",
            "Keys remembered",
            lambda: float(len(self.core.ledger.entries)),
        )

    def issue(self, call: HomeCall) -> Answer:
        """Return keys, one a line, that this process alone may run.

        Raises
        ------
        CallError
            The node is leaving, or the call is for another target.
        """
        self.check_target(call)
        if self.core.draining:
            raise DrainingError("no keys of a process that is about to end")
        self.counters["issue"] += 1
        identity, wall = self.core.identity, moment().wall
        keys = [issue_key(identity, wall, self.rng) for _ in range(BATCH)]
        text = "".join(f"{key}\n" for key in keys).encode()
        headers = (("Content-Type", "text/plain"), ("Content-Length", str(len(text))))
        return replayed(KeptAnswer(200, "OK", headers, text), call.method, repeat=False)

    def check_target(self, call: HomeCall) -> None:
        """Refuse a call that is for another target."""
        identity = self.core.identity
        if (call.service, call.target) != (identity.service, identity.target):
            raise WrongHomeError(f"{call.service}/{call.target} is not here")

    async def run(self, call: HomeCall) -> Answer:
        """Return the answer of the key's first run.

        Raises
        ------
        CallError
            There is none; says whether this attempt ran, and whether the key
            never will.
        """
        self.check_target(call)
        key = parse_key(call.headers.get(names.IDEMPOTENCY_KEY, ""), self.settings)
        body = await read_body(call, self.settings.body_bytes)
        self.link.refresh()
        decision = self.core.admit(KeyedCall(key, fingerprint(call, body)), moment())
        self.counters[type(decision).__name__.lower()] += 1
        if isinstance(decision, Refuse):
            raise refusal(decision)
        if isinstance(decision, Replay):
            return replayed(decision.answer, call.method, repeat=True)
        joins = isinstance(decision, Join)
        if not joins:
            self.begin(call, key, body)
        return await self.wait(self.works[key.text], call, key, joins)

    def begin(self, call: HomeCall, key: Key, body: bytes) -> None:
        """Run a new key, whatever becomes of its caller.

        A caller who goes away mid-way would otherwise cancel a call that the
        upstream already works on, and its repeat would get no answer.
        """
        loop = asyncio.get_running_loop()
        work = Work(loop.create_future())
        self.works[key.text] = work
        attempt = replace(
            call,
            body=WholeBody(body) if call.body else None,
            before_send=lambda: self.check(key),
            min_wait=self.settings.patience,
        )
        task = loop.create_task(self.work(work, attempt, key))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def check(self, key: Key) -> None:
        """Refuse a call that may no longer be handed over."""
        self.link.refresh()
        decision = self.core.hand_over(key, moment())
        if isinstance(decision, Refuse):
            self.counters["refused-at-hand-over"] += 1
            raise refusal(decision)

    async def work(self, work: Work, call: HomeCall, key: Key) -> None:
        """Run a call and settle its key."""
        try:
            answer = await self.home.admit_and_run(call)
            kept = await self.keep(work, answer)
            self.core.finished(key, kept, moment())
            work.done.set_result(kept)
        except CallError as error:
            self.fail(work, key, error)
        except BaseException as error:
            self.fail(work, key, CallError(f"internal: {type(error).__name__}"))
            log.opt(exception=error).error("keyed-call-crashed", key=key.text)
            raise
        finally:
            self.works.pop(key.text, None)

    def fail(self, work: Work, key: Key, error: CallError) -> None:
        """Settle a key whose call got no whole answer."""
        failure = refusal(self.core.failed(key, error, moment()))
        failure.settled = failure.settled or error.settled
        if not work.done.done():
            work.done.set_exception(failure)
            work.done.exception()

    async def keep(self, work: Work, answer: Answer) -> KeptAnswer:
        """Read a short answer whole; leave a long one to the first caller."""
        chunks: list[bytes] = []
        size = 0
        headers = tuple(names.end_to_end(answer.headers).get_all())
        while chunk := await answer.body.get():
            chunks.append(chunk)
            size += len(chunk)
            if size > self.settings.answer_bytes:
                self.stream(work, answer, b"".join(chunks))
                return KeptAnswer(answer.status, answer.reason, headers, None)
        answer.close()
        return KeptAnswer(answer.status, answer.reason, headers, b"".join(chunks))

    def stream(self, work: Work, answer: Answer, start: bytes) -> None:
        """Hand the rest of a long answer to the first caller, if it waits."""
        if work.alone:
            answer.close()
            return
        answer.body.unread(start)
        work.stream = answer

    async def wait(self, work: Work, call: HomeCall, key: Key, joins: bool) -> Answer:
        """Wait for a run's answer until the call's own deadline."""
        try:
            async with asyncio.timeout_at(call.deadline):
                kept = await asyncio.shield(work.done)
        except TimeoutError:
            work.alone = work.alone or not joins
            raise self.too_late(key) from None
        except asyncio.CancelledError:
            work.alone = work.alone or not joins
            if work.stream and not joins:
                work.stream.close()
            raise
        if work.stream and not joins:
            return work.stream
        if kept.body is None:
            raise AnswerNotKeptError
        return replayed(kept, call.method, repeat=joins)

    def too_late(self, key: Key) -> CallError:
        """Return what to tell when the deadline passes first."""
        entry = self.core.ledger.get(key)
        if entry is None or entry.state is not State.QUEUED:
            return DeadlineUnknownError("the upstream still works on the key")
        error = DeadlineNotRunError("still queued")
        return refusal(self.core.failed(key, error, moment()))
