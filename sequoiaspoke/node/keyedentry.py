"""The entry side of keyed calls: attempts at the key's home until the deadline."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.assignment import zone_targets
from sequoiaspoke.core.idempotency.entry import AttemptResult, outcome_for_caller
from sequoiaspoke.core.idempotency.key import home_of, parse_key
from sequoiaspoke.errors import (
    CallError,
    ConnectError,
    ConnectionLostError,
    NoTargetError,
    NotReadyError,
    RemoteError,
    TruncatedAnswerError,
    WrongHomeError,
)
from sequoiaspoke.node import headers as names

if TYPE_CHECKING:
    import random

    from tornado.httputil import HTTPHeaders

    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings
    from sequoiaspoke.core.rules.model import Endpoint
    from sequoiaspoke.node.attempts import Attempts
    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.node.config import ConfigSource
    from sequoiaspoke.node.home import HomeCall

# Connection failures on the way to the home. A retry is safe: the home's ledger keeps
# the key from running twice.
CONNECTION_FAILURES = (ConnectError, ConnectionLostError, TruncatedAnswerError)
# Refusals while the entry and the home have different versions of the configuration.
VERSION_MISMATCHES = (NotReadyError, WrongHomeError)
MIN_BACKOFF = 0.05  # seconds; a new version reaches the other node in less
MAX_BACKOFF = 1.0


class KeyedEntry:
    """Send each keyed call to the one home that may run its key."""

    def __init__(
        self,
        settings: IdempotencySettings,
        config: ConfigSource,
        attempts: Attempts,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.config = config
        self.attempts = attempts
        self.rng = rng

    async def run(self, call: HomeCall) -> Answer:
        """Return the answer of the key's first run.

        Raises
        ------
        CallError
            There is no answer; `ran` combines the results of all attempts.
        """
        key = parse_key(call.headers[names.IDEMPOTENCY_KEY], self.settings)
        results: list[AttemptResult] = []
        backoff = MIN_BACKOFF
        while True:
            try:
                return await self.attempt(call, key)
            except CallError as error:
                results.append(AttemptResult(error.ran, error.settled))
                if not can_retry(error, call, backoff):
                    raise error_for_caller(
                        call.headers, error, tuple(results)
                    ) from error
                self.attempts.counters.retried[error.code] += 1
            await asyncio.sleep(backoff * self.rng.uniform(0.5, 1.0))
            backoff = min(2 * backoff, MAX_BACKOFF)
            if call.body:
                call.body.rewind()

    async def attempt(self, call: HomeCall, key: Key) -> Answer:
        """Make one attempt at the home that the current version names."""
        endpoint = self.home(call.service, key)
        attempt = replace(call, target=endpoint.target)
        return await self.attempts.attempt(endpoint, attempt)

    def home(self, service: str, key: Key) -> Endpoint:
        """Return the endpoint of the only target that may run a key.

        Raises
        ------
        NoTargetError
            The service has no target in the key's zone.
        """
        snapshot = self.config.current
        if snapshot is None:
            raise NotReadyError("no version accepted yet", 1.0)
        target = home_of(key, zone_targets(snapshot, service, key.zone))
        if not target:
            raise NoTargetError(f"{service} has no target for the key in {key.zone}")
        endpoints = snapshot.services[service].endpoints
        return next(
            each
            for each in endpoints
            if each.target == target and each.zone == key.zone
        )


def can_retry(error: CallError, call: HomeCall, backoff: float) -> bool:
    """Return whether a retry may succeed before the deadline."""
    connection_failed = isinstance(error, CONNECTION_FAILURES) and not error.remote
    if not connection_failed and not isinstance(error, VERSION_MISMATCHES):
        return False
    if call.body is not None and not call.body.replayable:
        return False
    return asyncio.get_running_loop().time() + backoff < call.deadline


def refusal_for_caller(headers: HTTPHeaders, error: CallError) -> CallError:
    """Return the failure to report for a call that this node itself refused."""
    if names.IDEMPOTENCY_KEY not in headers:
        return error
    return error_for_caller(headers, error, (AttemptResult(error.ran, error.settled),))


def error_for_caller(
    headers: HTTPHeaders, error: CallError, results: tuple[AttemptResult, ...]
) -> CallError:
    """Return the failure, with `ran` combined from all attempts with the key."""
    first = headers.get(names.IDEMPOTENCY_ATTEMPT, "") == names.FIRST_ATTEMPT
    ran = outcome_for_caller(results, first)
    if ran is error.ran:
        return error
    combined = RemoteError(
        error.code, error.status, ran, error.detail, error.retry_after
    )
    combined.settled = error.settled
    return combined
