"""The entry side of a call: rules, target choice, attempts, answer."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from sequoiaspoke.core.idempotency.assignment import pick_by_key
from sequoiaspoke.core.idempotency.key import parse_key
from sequoiaspoke.core.routing.deadline import enter
from sequoiaspoke.core.routing.split import Splitter
from sequoiaspoke.core.rules.model import (
    CallPolicy,
    Redirect,
    Refuse,
    RouteTo,
    Rule,
)
from sequoiaspoke.core.rules.request import make_request_head
from sequoiaspoke.errors import (
    CallError,
    InvalidKeyError,
    NoRuleError,
    NotReadyError,
    Ran,
    RefusedByRuleError,
    UnknownServiceError,
)
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.attempts import Attempts
from sequoiaspoke.node.home import HomeCall
from sequoiaspoke.node.keyedentry import KeyedEntry, told_of_key
from sequoiaspoke.node.pipe import ReplayableBody
from sequoiaspoke.node.server import CallHandler

if TYPE_CHECKING:
    import random

    from sequoiaspoke.core.rules.model import RequestHead, Service
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


KEYS_ROUTE = RouteTo(())
KEYS_RULE = Rule("issued-keys", (), KEYS_ROUTE, CallPolicy(timeout=2.0))


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
        self.attempts = Attempts(settings, home, counters, rng)
        self.splitter = Splitter(rng)
        self.keyed = KeyedEntry(settings.idempotency, config, self.attempts, rng)

    async def handle(self, call: IncomingCall) -> None:
        """Answer a caller by the rules in force."""
        started = time.perf_counter()
        try:
            await self.dispatch(call)
        except CallError as error:
            told = told_of_key(call.headers, error)
            self.counters.failed(told)
            raise told from error
        finally:
            self.counters.observe(time.perf_counter() - started)

    async def dispatch(self, call: IncomingCall) -> None:
        """Find the rule that decides and do what it says."""
        snapshot = self.config.current
        if snapshot is None:
            raise NotReadyError("no version accepted yet", 1.0)
        # A node that was paused would decide by rules that the fleet may have
        # left meanwhile; it asks its peers first, which takes milliseconds.
        if not self.config.verified:
            raise NotReadyError("version to be verified after a pause", 1.0)
        if call.uri.startswith(names.KEYS_PATH):
            await self.issue_keys(call, snapshot)
            return
        request = read_request(call, self.zone_of(call))
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
        service = self.pick_service(snapshot, rule, call)
        answer = await self.run_call(call, rule, rule.then, service)
        await self.relay(call, service.name, answer)

    async def issue_keys(self, call: IncomingCall, snapshot: Snapshot) -> None:
        """Answer with keys of a target that is up, of this zone if possible."""
        name = call.uri.removeprefix(names.KEYS_PATH)
        service = snapshot.services.get(name)
        if service is None:
            raise UnknownServiceError(name)
        answer = await self.run_call(call, KEYS_RULE, KEYS_ROUTE, service)
        await self.relay(call, name, answer)

    async def relay(self, call: IncomingCall, service: str, answer: Answer) -> None:
        """Pass an answer on to the caller."""
        self.counters.calls[service] += 1
        try:
            headers = names.answer_headers(answer)
            await call.writer.relay(answer, headers, self.settings.limits.idle)
        finally:
            answer.close()

    def zone_of(self, call: IncomingCall) -> str:
        """Return the zone that rules see: a key's own, else this node's.

        A repeat may come in through another zone. Under a rule for this zone alone
        it would go to another service than the first attempt, and run there too.
        """
        own = self.settings.node.zone
        if names.IDEMPOTENCY_KEY not in call.headers:
            return own
        try:
            text = call.headers[names.IDEMPOTENCY_KEY]
            return parse_key(text, self.settings.idempotency).zone
        except InvalidKeyError:
            return own  # refused later, if the rule wants a key

    def pick_service(
        self, snapshot: Snapshot, rule: Rule, call: IncomingCall
    ) -> Service:
        """Choose one service of a weighted split."""
        assert isinstance(rule.then, RouteTo)
        key = call.headers.get(rule.then.sticky_header, "")
        if is_keyed(call, rule.policy):
            text = call.headers[names.IDEMPOTENCY_KEY]
            idempotency_key = parse_key(text, self.settings.idempotency)
            name = pick_by_key(idempotency_key.text, rule.then.split)
        else:
            name = self.splitter.choose(rule.name, rule.then.split, key)
        service = snapshot.services.get(name)
        if service is None:
            raise UnknownServiceError(name)
        return service

    async def run_call(
        self, call: IncomingCall, rule: Rule, route: RouteTo, service: Service
    ) -> Answer:
        """Set the call's deadline and depth, and try targets."""
        policy = rule.policy
        has_deadline = names.DEADLINE in call.headers
        progress = enter(
            self.settings.routing,
            policy.timeout,
            asyncio.get_running_loop().time(),
            names.whole_number(call.headers, names.DEADLINE, 0)
            if has_deadline
            else None,
            names.whole_number(call.headers, names.ATTEMPT, 1),
            names.whole_number(call.headers, names.DEPTH, 0),
        )
        keyed = is_keyed(call, policy)
        keep = self.settings.idempotency.body_bytes if keyed else REPLAY_BYTES
        home_call = HomeCall(
            service=service.name,
            target="",
            method=call.method,
            uri=call.uri,
            headers=call.headers,
            body=ReplayableBody(call.body, keep) if call.body else None,
            deadline=progress.deadline,
            depth=progress.depth,
            caller=call.headers.get(policy.caller_header, call.remote),
            priority=policy.priority,
            rule=rule.name,
            key=call.headers.get(route.sticky_header, ""),
            keyed=keyed,
        )
        if keyed:
            return await self.keyed.run(home_call)
        return await self.attempts.run(service, policy, home_call, progress)

    def close(self) -> None:
        """Close the idle connections to other nodes."""
        self.attempts.close()


def is_keyed(call: IncomingCall, policy: CallPolicy) -> bool:
    """Return whether the call may run once only and can be told from others."""
    return not policy.idempotent and names.IDEMPOTENCY_KEY in call.headers


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
    call.writer.write_complete(action.status, headers, b"")
