"""Handle calls at the entry node: match rules, choose a target, relay the answer."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from sequoiaspoke.core.admission.durations import Durations
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
    DrainingError,
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
from sequoiaspoke.node.keyedentry import KeyedEntry, refusal_for_caller
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
    from sequoiaspoke.node.stopping import StopTimes
    from sequoiaspoke.settings.schema import Settings

# Bytes of a request body that are buffered for a retry. Bodies of calls that are
# retried are usually far shorter; a larger upload, such as a recording, gets one
# attempt.
REPLAY_BYTES = 65536


KEYS_ROUTE = RouteTo(())
KEYS_RULE = Rule("issued-keys", (), KEYS_ROUTE, CallPolicy(timeout=2.0))


class Entry(CallHandler):
    """Handler of the calls from outside the mesh and from this VM's own upstream.

    Attributes
    ----------
    durations : Durations
        How long the answered calls of each rule took.
    stopping : StopTimes or None
        Set once the node stops.
    """

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
        self.durations = Durations()
        self.stopping: StopTimes | None = None

    async def handle(self, call: IncomingCall) -> None:
        """Answer a call and record its failure and its duration."""
        started = time.perf_counter()
        try:
            await self.dispatch(call)
        except CallError as error:
            told = refusal_for_caller(call.headers, error)
            self.counters.failed(told)
            raise told from error
        finally:
            self.counters.observe(time.perf_counter() - started)

    async def dispatch(self, call: IncomingCall) -> None:
        """Find the first matching rule and carry out its action."""
        snapshot = self.config.current
        if snapshot is None:
            raise NotReadyError("no version accepted yet", 1.0)
        # After a pause of this process, its rules may be older than the fleet's.
        # It asks its peers for their version first, which takes milliseconds.
        if not self.config.verified:
            raise NotReadyError("version not verified yet after a pause", 1.0)
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
        began = asyncio.get_running_loop().time()
        answer = await self.run_call(call, rule, rule.then, service)
        head = asyncio.get_running_loop().time() - began
        await self.relay(call, service.name, answer)
        whole = asyncio.get_running_loop().time() - began
        self.durations.add(rule.name, whole, head)

    def check_stopping(self, rule: Rule, deadline: float) -> None:
        """Refuse a call that a stopping node could not answer in time."""
        now = asyncio.get_running_loop().time()
        usual = self.durations.expected(rule.name)
        if self.stopping and not self.stopping.takes(now, deadline, usual):
            raise DrainingError("the node would stop before the call is done")

    async def issue_keys(self, call: IncomingCall, snapshot: Snapshot) -> None:
        """Answer with keys issued by a live target, in this zone if possible."""
        name = call.uri.removeprefix(names.KEYS_PATH)
        service = snapshot.services.get(name)
        if service is None:
            raise UnknownServiceError(name)
        answer = await self.run_call(call, KEYS_RULE, KEYS_ROUTE, service)
        await self.relay(call, name, answer)

    async def relay(self, call: IncomingCall, service: str, answer: Answer) -> None:
        """Stream an answer to the caller."""
        self.counters.calls[service] += 1
        try:
            headers = names.answer_headers(answer)
            await call.writer.relay(answer, headers, self.settings.limits.idle)
        finally:
            answer.close()

    def zone_of(self, call: IncomingCall) -> str:
        """Return the zone to match rules with: the key's, else this node's.

        A retry may come in through another zone. If a rule holds for one zone only,
        matching by the entry's zone could send the retry to another service than
        the first attempt, and the call would run twice.
        """
        own = self.settings.node.zone
        if names.IDEMPOTENCY_KEY not in call.headers:
            return own
        try:
            text = call.headers[names.IDEMPOTENCY_KEY]
            return parse_key(text, self.settings.idempotency).zone
        except InvalidKeyError:
            return own  # refused later, if the rule requires a key

    def pick_service(
        self, snapshot: Snapshot, rule: Rule, call: IncomingCall
    ) -> Service:
        """Choose a service of the weighted split, by the key of a keyed call."""
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
        """Set the call's deadline and depth, and run its attempts."""
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
        self.check_stopping(rule, progress.deadline)
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
        """Close the connections to other nodes; those in use when their calls end."""
        self.attempts.close()


def is_keyed(call: IncomingCall, policy: CallPolicy) -> bool:
    """Return whether the call may run only once and carries an idempotency key."""
    return not policy.idempotent and names.IDEMPOTENCY_KEY in call.headers


def read_request(call: IncomingCall, zone: str) -> RequestHead:
    """Return the parts of the request that rules match on."""
    headers = list(call.headers.get_all())
    return make_request_head(
        call.method, call.uri, call.headers.get("Host", ""), headers, zone
    )


def redirect(call: IncomingCall, action: Redirect) -> None:
    """Answer with the redirect of a rule."""
    headers = HTTPHeaders({"Location": action.location})
    headers[names.RAN] = Ran.NOT_RUN.value
    call.writer.write_complete(action.status, headers, b"")
