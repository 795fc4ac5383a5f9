"""Run the attempts of a call: choose targets, retry, and record the outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from tornado.httputil import RequestStartLine

from sequoiaspoke.core.routing.model import Outcome, RouteContext
from sequoiaspoke.core.routing.policies import make_balancer
from sequoiaspoke.core.routing.retry import GiveUp, RetryPolicy
from sequoiaspoke.errors import (
    CallError,
    ConnectError,
    DeadlineNotRunError,
    DeadlineUnknownError,
    DrainingError,
    NotReadyError,
    OutcomeUnknownError,
    OverloadedError,
    Ran,
    UpstreamShedError,
    reported_error,
)
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.client import Address, Pool, discard
from sequoiaspoke.node.directcalls import DirectCalls
from sequoiaspoke.node.loadheader import read_load

if TYPE_CHECKING:
    import random

    from sequoiaspoke.core.routing.deadline import Progress
    from sequoiaspoke.core.rules.model import CallPolicy, Endpoint, Service
    from sequoiaspoke.core.snapshot.model import Snapshot
    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.node.home import Home, HomeCall
    from sequoiaspoke.node.metrics import CallCounters
    from sequoiaspoke.settings.schema import Settings

REFUSALS = (DrainingError, NotReadyError, OverloadedError, UpstreamShedError)


class Attempts:
    """Attempts at targets until one answers or no retry is allowed."""

    def __init__(
        self, settings: Settings, home: Home, counters: CallCounters, rng: random.Random
    ) -> None:
        self.settings = settings
        self.home = home
        self.counters = counters
        self.balancer = make_balancer(settings.routing, settings.node.zone, rng)
        self.retries = RetryPolicy(settings.routing, rng)
        self.pools: dict[Address, Pool] = {}
        self.direct = DirectCalls(settings, home, self.balancer, self.pools)

    async def run(
        self, service: Service, policy: CallPolicy, call: HomeCall, progress: Progress
    ) -> Answer:
        """Return the answer of the first attempt that succeeds.

        Raises
        ------
        CallError
            The failure of the last attempt, when a retry would be useless or unsafe.
        """
        loop = asyncio.get_running_loop()
        self.retries.first_attempt(service.name)
        tried: frozenset[str] = frozenset()
        number = 0
        while True:
            number += 1
            may_retry = policy.idempotent and number < policy.attempts
            context = RouteContext(call.key, may_retry and replayable(call))
            choice = self.balancer.choose(
                service.name, service.endpoints, context, tried, loop.time()
            )
            target = choice.endpoint.target
            tried |= {target}
            attempt_number = progress.for_attempt(number).attempt
            attempt = replace(call, target=target, attempt=attempt_number)
            try:
                return await self.attempt(choice.endpoint, attempt, policy.idempotent)
            except CallError as error:
                await self.wait_or_raise(service, policy, call, progress, number, error)

    async def wait_or_raise(
        self,
        service: Service,
        policy: CallPolicy,
        call: HomeCall,
        progress: Progress,
        number: int,
        error: CallError,
    ) -> None:
        """Wait before a retry, or raise the error if there is to be none."""
        now = asyncio.get_running_loop().time()
        if not replayable(call):
            raise error
        decision = self.retries.decide(
            service.name,
            error,
            policy,
            number,
            progress.remaining(now),
            progress.attempt,
        )
        if isinstance(decision, GiveUp):
            error.retried = error.retried or number > 1
            raise error
        self.counters.retried[error.code] += 1
        await asyncio.sleep(decision.delay)
        if call.body:
            call.body.rewind()

    async def attempt(
        self, endpoint: Endpoint, call: HomeCall, may_go_direct: bool = False
    ) -> Answer:
        """Make one attempt and report its outcome to the balancer.

        Parameters
        ----------
        may_go_direct : bool
            Whether the call may go straight to the upstream under a grant, without
            the home. False for a call that must not run twice, because only the
            home can tell whether it has run.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.balancer.started(call.target, began)
        try:
            if endpoint.vm == self.settings.node.name:
                answer = await self.run_here(call)
            elif may_go_direct and (grant := self.direct.take(endpoint, call)):
                answer = await self.direct.run(grant, call)
            else:
                answer = await self.send(endpoint, call)
        except BaseException as error:
            self.record_failure(call.target, outcome_of(error), began)
            raise
        latency = loop.time() - began
        answer.on_close(lambda: self.record_answer_end(call.target, answer, latency))
        return answer

    async def run_here(self, call: HomeCall) -> Answer:
        """Run the call at this node's own upstream."""
        try:
            return await self.home.run(call)
        finally:
            now = asyncio.get_running_loop().time()
            self.balancer.report(call.target, self.home.report(), now)

    def record_answer_end(self, target: str, answer: Answer, latency: float) -> None:
        """Record the outcome of an answer that has ended; an error is a failure."""
        outcome = Outcome.ANSWERED if answer.complete else Outcome.CANCELLED
        if answer.error is not None:
            outcome = Outcome.FAILED
        now = asyncio.get_running_loop().time()
        self.balancer.finished(target, outcome, latency, now)

    def record_failure(self, target: str, outcome: Outcome, began: float) -> None:
        """Record the outcome of an attempt that got no answer."""
        now = asyncio.get_running_loop().time()
        self.balancer.finished(target, outcome, now - began, now)

    async def send(self, endpoint: Endpoint, call: HomeCall) -> Answer:
        """Send the call to another node and raise the error that it reports."""
        address = Address(endpoint.address, endpoint.mesh_port)
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = Pool(address, self.settings.limits)
        start_line = RequestStartLine(call.method, call.uri, "HTTP/1.1")
        headers = self.headers(call)
        answer = await pool.call(start_line, headers, call.body, call.deadline)
        report = read_load(answer.headers)
        if report:
            now = asyncio.get_running_loop().time()
            self.balancer.report(call.target, report, now)
        ran = answer.headers.get(names.RAN, Ran.RAN.value)
        if ran == Ran.RAN.value and names.REASON not in answer.headers:
            answer.replayed = names.REPEAT in answer.headers
            return answer
        error = reported_error(
            answer.headers.get(names.REASON, "remote"),
            answer.status,
            next((each for each in Ran if each.value == ran), Ran.OUTCOME_UNKNOWN),
            f"at {call.target}",
            names.whole_number(answer.headers, "Retry-After", 0) or None,
        )
        error.remote = True
        error.settled = names.SETTLED in answer.headers
        error.retried = names.RETRIED in answer.headers
        await discard(answer, call.deadline)
        raise error

    def headers(self, call: HomeCall) -> names.HTTPHeaders:
        """Return the request headers for the target's home node."""
        headers = names.end_to_end(call.headers)
        remaining = call.deadline - asyncio.get_running_loop().time()
        remaining -= self.settings.routing.hop_margin
        headers[names.DEADLINE] = str(max(0, int(remaining * 1000)))
        headers[names.DEPTH] = str(call.depth)
        headers[names.ATTEMPT] = str(call.attempt)
        headers[names.SERVICE] = call.service
        headers[names.TARGET] = call.target
        headers[names.CALLER] = call.caller
        headers[names.PRIORITY] = call.priority.value
        headers[names.RULE] = call.rule
        if call.key:
            headers[names.KEY] = call.key
        if call.keyed:
            headers[names.KEYED] = names.YES
        return headers

    def retain(self, snapshot: Snapshot) -> None:
        """Drop the state of services and targets that the snapshot does not have.

        Hundreds of VMs are replaced each day, so otherwise the memory of a node that
        runs for months would fill with the state of VMs that are gone.
        """
        services = frozenset(snapshot.services)
        self.retries.retain(services)
        self.balancer.retain(services)
        endpoints = [
            endpoint
            for service in snapshot.services.values()
            for endpoint in service.endpoints
        ]
        self.direct.retain(frozenset(endpoint.target for endpoint in endpoints))
        addresses = {Address(each.address, each.mesh_port) for each in endpoints}
        for address in self.pools.keys() - addresses:
            self.pools.pop(address).close()

    def close(self) -> None:
        """Close the connections to other nodes; those in use when their calls end."""
        self.direct.close()
        for pool in self.pools.values():
            pool.close()


def replayable(call: HomeCall) -> bool:
    """Return whether the request can be sent again from its start."""
    return call.body is None or call.body.replayable


def outcome_of(error: BaseException) -> Outcome:
    """Return the outcome that an error means for the target of the attempt."""
    if isinstance(error, REFUSALS):
        return Outcome.REFUSED
    if isinstance(error, DeadlineUnknownError):
        return Outcome.TIMED_OUT
    if isinstance(error, DeadlineNotRunError):
        # If the target's node reports it, the call expired in that node's queue;
        # if it was raised here, no connection was made before the deadline.
        return Outcome.REFUSED if error.remote else Outcome.TIMED_OUT
    if isinstance(error, ConnectError | OutcomeUnknownError):
        return Outcome.FAILED
    return Outcome.CANCELLED
