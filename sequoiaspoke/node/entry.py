"""The entry side of a call: rules, target choice, attempts, answer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.core.rules.model import Redirect, Refuse
from sequoiaspoke.core.rules.request import make_request_head
from sequoiaspoke.errors import (
    BadRequestError,
    CallError,
    NoRuleError,
    NoTargetError,
    NotReadyError,
    Ran,
    RefusedByRuleError,
    TooDeepError,
    UnknownServiceError,
    reported_error,
)
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.node.home import HomeCall, discard
from sequoiaspoke.node.pipe import ReplayableBody
from sequoiaspoke.node.server import CallHandler

if TYPE_CHECKING:
    import random

    from sequoiaspoke.core.rules.model import (
        CallPolicy,
        Endpoint,
        RequestHead,
        RouteTo,
        Service,
    )
    from sequoiaspoke.core.snapshot.model import Snapshot
    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.node.config import ConfigSource
    from sequoiaspoke.node.home import Home
    from sequoiaspoke.node.metrics import CallCounters
    from sequoiaspoke.node.server import IncomingCall
    from sequoiaspoke.settings.schema import Settings

# Bytes of a request body kept for another attempt; the calls that are retried
# (availability, condolences, charges) are far shorter, and a recording that is
# uploaded gets one attempt.
REPLAY_BYTES = 65536
# Calls go up to 19 deep; a rule that routes a service's own calls back to it
# would otherwise go round until every slot is taken.
DEPTH_LIMIT = 24


class Entry(CallHandler):
    """Calls of callers and of this VM's own upstream."""

    def __init__(
        self,
        settings: Settings,
        config: ConfigSource,
        home: Home,
        counters: CallCounters,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.config = config
        self.home = home
        self.counters = counters
        self.rng = rng
        self.pools: dict[Address, Pool] = {}
        self.in_flight: dict[str, int] = {}

    async def handle(self, call: IncomingCall) -> None:
        """Answer a caller by the rules in force."""
        started = time.perf_counter()
        try:
            await self.decide(call)
        except CallError as error:
            self.counters.failed(error)
            raise
        finally:
            self.counters.observe(time.perf_counter() - started)

    async def decide(self, call: IncomingCall) -> None:
        """Find the rule that decides and do what it says."""
        snapshot = self.config.current
        if snapshot is None:
            raise NotReadyError("no version accepted yet", 1.0)
        request = read_request(call, self.settings.node.zone)
        rule = snapshot.matcher.decide(request).rule
        if rule is None:
            raise NoRuleError(f"no rule matches {call.method} {request.path}")
        if isinstance(rule.then, Refuse):
            error = RefusedByRuleError(f"rule {rule.name}: {rule.then.reason}")
            error.status = rule.then.status  # type: ignore[misc]
            raise error
        if isinstance(rule.then, Redirect):
            redirect(call, rule.then)
            return
        if names.whole_number(call.headers, names.DEPTH, 0) >= DEPTH_LIMIT:
            raise TooDeepError(f"more than {DEPTH_LIMIT} calls deep")
        service = self.pick_service(snapshot, rule.then)
        answer = await self.attempts(call, service, rule.policy)
        self.counters.calls[service.name] += 1
        try:
            headers = names.end_to_end(answer.headers)
            headers[names.RAN] = Ran.RAN.value
            await call.writer.relay(answer, headers, self.settings.limits.idle)
        finally:
            answer.close()

    def pick_service(self, snapshot: Snapshot, route: RouteTo) -> Service:
        """Choose one service of a weighted split."""
        split = route.split
        chosen = split[0]
        if len(split) > 1:
            weights = [each.weight for each in split]
            chosen = self.rng.choices(split, weights)[0]
        service = snapshot.services.get(chosen.service)
        if service is None:
            raise UnknownServiceError(chosen.service)
        return service

    async def attempts(
        self, call: IncomingCall, service: Service, policy: CallPolicy
    ) -> Answer:
        """Try targets until one answers or another try is not allowed."""
        loop = asyncio.get_running_loop()
        asked = names.whole_number(call.headers, names.DEADLINE, 0) / 1000
        timeout = min(policy.timeout, asked) if asked else policy.timeout
        home_call = HomeCall(
            service=service.name,
            target="",
            method=call.method,
            uri=call.uri,
            headers=call.headers,
            body=ReplayableBody(call.body, REPLAY_BYTES) if call.body else None,
            deadline=loop.time() + timeout,
            depth=names.whole_number(call.headers, names.DEPTH, 0) + 1,
            caller=call.headers.get(policy.caller_header, call.remote)
            if policy.caller_header
            else call.remote,
            priority=policy.priority.value,
        )
        tried: list[str] = []
        while True:
            endpoint = self.choose(service, tried)
            tried.append(endpoint.target)
            attempt = replace(home_call, target=endpoint.target, attempt=len(tried))
            try:
                return await self.attempt(endpoint, attempt)
            except CallError as error:
                if not may_retry(error, policy, attempt):
                    raise
                self.counters.retried[error.code] += 1
                if attempt.body:
                    attempt.body.rewind()

    def choose(self, service: Service, tried: list[str]) -> Endpoint:
        """Choose a target, those not tried yet first, then the least busy."""
        if not service.endpoints:
            raise NoTargetError(f"{service.name} has no target", 1.0)
        zone = self.settings.node.zone
        return min(
            service.endpoints,
            key=lambda endpoint: (
                endpoint.target in tried,
                endpoint.zone != zone,
                self.in_flight.get(endpoint.target, 0),
                self.rng.random(),
            ),
        )

    async def attempt(self, endpoint: Endpoint, call: HomeCall) -> Answer:
        """Send the call to the home of one target."""
        target = endpoint.target
        self.in_flight[target] = self.in_flight.get(target, 0) + 1
        try:
            if endpoint.vm == self.settings.node.name:
                answer = await self.home.run(call)
            else:
                answer = await self.send(endpoint, call)
        except BaseException:
            self.in_flight[target] -= 1
            raise
        answer.on_close(lambda: self.ended(target))
        return answer

    def ended(self, target: str) -> None:
        """Count a call to a target that is over."""
        self.in_flight[target] -= 1

    async def send(self, endpoint: Endpoint, call: HomeCall) -> Answer:
        """Send the call to another node; its refusals come back typed."""
        address = Address(endpoint.address, endpoint.mesh_port)
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = Pool(address, self.settings.limits)
        headers = names.end_to_end(call.headers)
        remaining = call.deadline - asyncio.get_running_loop().time()
        headers[names.DEADLINE] = str(max(1, int(remaining * 1000)))
        headers[names.DEPTH] = str(call.depth)
        headers[names.ATTEMPT] = str(call.attempt)
        headers[names.SERVICE] = call.service
        headers[names.TARGET] = call.target
        headers[names.CALLER] = call.caller
        headers[names.PRIORITY] = call.priority
        start_line = RequestStartLine(call.method, call.uri, "HTTP/1.1")
        answer = await pool.call(start_line, headers, call.body, call.deadline)
        ran = answer.headers.get(names.RAN, Ran.RAN.value)
        if ran == Ran.RAN.value:
            return answer
        error = reported_error(
            answer.headers.get(names.REASON, "remote"),
            answer.status,
            Ran.NOT_RUN if ran == Ran.NOT_RUN.value else Ran.OUTCOME_UNKNOWN,
            f"at {call.target}",
            names.whole_number(answer.headers, "Retry-After", 0) or None,
        )
        await discard(answer)
        raise error

    def close(self) -> None:
        """Close the idle connections to other nodes."""
        for pool in self.pools.values():
            pool.close()


def may_retry(error: CallError, policy: CallPolicy, call: HomeCall) -> bool:
    """Return whether another attempt is safe and allowed."""
    if call.attempt >= policy.attempts or error.status == BadRequestError.status:
        return False
    if call.body is not None and not call.body.replayable:
        return False
    if call.deadline <= asyncio.get_running_loop().time():
        return False
    return policy.idempotent or error.ran is Ran.NOT_RUN


def read_request(call: IncomingCall, zone: str) -> RequestHead:
    """Read what the rules look at."""
    headers = list(call.headers.get_all())
    return make_request_head(
        call.method, call.uri, call.headers.get("Host", ""), headers, zone
    )


def redirect(call: IncomingCall, action: Redirect) -> None:
    """Answer with the redirection of a rule."""
    headers = HTTPHeaders({"Location": action.location})
    headers[names.RAN] = Ran.NOT_RUN.value
    call.writer.whole(action.status, headers, b"")
