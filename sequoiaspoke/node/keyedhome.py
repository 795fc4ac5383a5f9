"""The home side of keyed calls: run each key once and answer retries from the run."""

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
    ConnectionLostError,
    DeadlineNotRunError,
    DeadlineUnknownError,
    DrainingError,
    WrongHomeError,
)
from sequoiaspoke.node import headers as names
from sequoiaspoke.node import silence
from sequoiaspoke.node.keyedrun import (
    KeyRun,
    fingerprint,
    read_body,
    refusal,
    replayed,
)
from sequoiaspoke.node.wholebody import WholeBody
from sequoiaspoke.node.witnesslink import WitnessLink, moment

if TYPE_CHECKING:
    import random
    import socket

    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.node.config import ConfigSource
    from sequoiaspoke.node.home import Home, HomeCall
    from sequoiaspoke.node.metrics import Metrics
    from sequoiaspoke.settings.schema import Settings

MILLISECONDS = 1000
KEYS_PER_ANSWER = 20  # issued keys in one answer; each is valid for the retention
KEY_TIME_RESOLUTION = 0.001  # seconds; a key's minted time is rounded down to it


class KeyedHome:
    """Run each key that belongs to this VM's target at most once."""

    def __init__(
        self,
        settings: Settings,
        home: Home,
        config: ConfigSource,
        rng: random.Random,
    ) -> None:
        self.settings = settings.idempotency
        self.idle = settings.limits.idle
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
        self.runs: dict[str, KeyRun] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.counters: Counter[str] = Counter()
        home.keyed = self

    async def start(self, sock: socket.socket) -> None:
        """Start to query witnesses and to answer as one over a bound socket."""
        await self.link.listen(sock)

    async def linger(self) -> None:
        """Wait until all runs have ended, then for retries that fetch their answers."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        ended = self.core.ledger.ended
        while ended:
            remaining = ended[-1].finished + self.settings.linger - moment().steady
            if remaining <= 0:
                return
            await asyncio.sleep(remaining)

    def ready(self) -> bool:
        """Return whether keys minted now may run here."""
        self.link.refresh()
        if not self.link.is_needed():
            return True
        now = moment()
        lease = self.core.lease
        since = lease.starts_at() + self.settings.clock_margin + KEY_TIME_RESOLUTION
        return lease.is_open(now) and since <= now.wall

    def close(self) -> None:
        """Close the witness link and cancel the remaining runs."""
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
        """Return new keys, one per line, that only this process may run.

        Raises
        ------
        CallError
            The node is draining, or the call is for another target.
        """
        self.check_target(call)
        if self.core.draining:
            raise DrainingError("a draining process issues no keys")
        self.counters["issue"] += 1
        identity, wall = self.core.identity, moment().wall
        keys = [issue_key(identity, wall, self.rng) for _ in range(KEYS_PER_ANSWER)]
        text = "".join(f"{key}\n" for key in keys).encode()
        headers = (("Content-Type", "text/plain"), ("Content-Length", str(len(text))))
        return replayed(KeptAnswer(200, "OK", headers, text), call.method, repeat=False)

    def check_target(self, call: HomeCall) -> None:
        """Refuse a call that is for another target."""
        identity = self.core.identity
        if (call.service, call.target) != (identity.service, identity.target):
            raise WrongHomeError(
                f"{call.service}/{call.target} is not served by this node"
            )

    async def run(self, call: HomeCall) -> Answer:
        """Return the answer of the key's first run.

        Raises
        ------
        CallError
            There is no answer; says whether this attempt ran, and whether it is
            certain that the key never will.
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
        joined = isinstance(decision, Join)
        if not joined:
            self.start_run(call, key, body)
        return await self.wait(self.runs[key.text], call, key, joined)

    def start_run(self, call: HomeCall, key: Key, body: bytes) -> None:
        """Start the run of a new key in a task of its own.

        If the run ended with the caller's connection, a caller that disconnects
        would cancel a call that the upstream already runs, and a retry would get
        no answer.
        """
        loop = asyncio.get_running_loop()
        key_run = KeyRun(loop.create_future())
        self.runs[key.text] = key_run
        attempt = replace(
            call,
            body=WholeBody(body) if call.body else None,
            before_send=lambda: self.check_hand_over(key),
            min_wait=self.settings.patience,
        )
        task = loop.create_task(self.execute(key_run, attempt, key))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def check_hand_over(self, key: Key) -> None:
        """Refuse a call that may no longer be handed to the upstream."""
        self.link.refresh()
        decision = self.core.hand_over(key, moment())
        if isinstance(decision, Refuse):
            self.counters["refused-at-hand-over"] += 1
            raise refusal(decision)

    async def execute(self, key_run: KeyRun, call: HomeCall, key: Key) -> None:
        """Run a call and record the outcome of its key."""
        try:
            answer = await self.home.admit_and_run(call)
            kept = await self.read_answer(key_run, answer)
            self.core.finished(key, kept, moment())
            key_run.done.set_result(kept)
        except CallError as error:
            self.fail(key_run, key, error)
        except BaseException as error:
            self.fail(key_run, key, CallError(f"internal: {type(error).__name__}"))
            log.opt(exception=error).error("keyed-call-crashed", key=key.text)
            raise
        finally:
            self.runs.pop(key.text, None)

    def fail(self, key_run: KeyRun, key: Key, error: CallError) -> None:
        """Record the failure of a run that got no complete answer."""
        failure = refusal(self.core.failed(key, error, moment()))
        failure.settled = failure.settled or error.settled
        if not key_run.done.done():
            key_run.done.set_exception(failure)
            key_run.done.exception()

    async def read_answer(self, key_run: KeyRun, answer: Answer) -> KeptAnswer:
        """Read a short answer in full; pass a long one on to the first caller."""
        chunks: list[bytes] = []
        size = 0
        headers = tuple(names.end_to_end(answer.headers).get_all())
        try:
            while chunk := await self.next_chunk(answer):
                chunks.append(chunk)
                size += len(chunk)
                if size > self.settings.answer_bytes:
                    self.stream(key_run, answer, b"".join(chunks))
                    return KeptAnswer(answer.status, answer.reason, headers, None)
        except BaseException:
            answer.close()
            raise
        answer.close()
        return KeptAnswer(answer.status, answer.reason, headers, b"".join(chunks))

    async def next_chunk(self, answer: Answer) -> bytes:
        """Return the next chunk of an answer, empty at its end.

        Raises
        ------
        CallError
            The answer broke off or made no progress for `idle` seconds.
        """
        try:
            async with silence.timeout(self.idle):
                return await answer.body.get()
        except TimeoutError as error:
            raise ConnectionLostError(f"no progress for {self.idle:g} s") from error

    def stream(self, key_run: KeyRun, answer: Answer, start: bytes) -> None:
        """Pass a long answer on to the first caller, if it still waits."""
        if key_run.first_caller_gone:
            answer.close()
            return
        answer.body.unread(start)
        key_run.stream = answer

    async def wait(
        self, key_run: KeyRun, call: HomeCall, key: Key, joined: bool
    ) -> Answer:
        """Wait for a run's answer until this call's deadline."""
        try:
            async with silence.timeout_at(call.deadline):
                kept = await asyncio.shield(key_run.done)
        except TimeoutError:
            key_run.first_caller_gone = key_run.first_caller_gone or not joined
            raise self.deadline_error(key) from None
        except asyncio.CancelledError:
            key_run.first_caller_gone = key_run.first_caller_gone or not joined
            if key_run.stream and not joined:
                key_run.stream.close()
            raise
        if key_run.stream and not joined:
            return key_run.stream
        if kept.body is None:
            raise AnswerNotKeptError
        return replayed(kept, call.method, repeat=joined)

    def deadline_error(self, key: Key) -> CallError:
        """Return the failure of a call whose deadline passes before its run ends."""
        entry = self.core.ledger.get(key)
        if entry is None or entry.state is not State.QUEUED:
            return DeadlineUnknownError("the upstream is still running the key's call")
        error = DeadlineNotRunError("still queued")
        return refusal(self.core.failed(key, error, moment()))
