"""Simulation of whole sidecars beside upstreams that name a rate limit or leave."""

import asyncio
from collections import defaultdict
from dataclasses import replace

from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstreamreport import HealthAnswer, UpstreamReport, is_leaving
from sequoiaspoke.tests.crashsim import (
    SERVICE,
    CrashingUpstream,
    CrashItems,
    CrashNode,
    CrashWorld,
)

# Seconds from the first naming of a limit until it must be kept, the period over which
# calls are counted, and what that period allows beyond the limit.
GRACE_SECONDS, PERIOD_SECONDS = 3.0, 4.0
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5
# Seconds after which no new call may reach an upstream that has said that it leaves.
DRAIN_SECONDS = 2.0
# Seconds that a health check takes.
HEALTH_SECONDS = 0.006

LEAVING_HEADERS = ((f"X-{HeaderNames().leaving}", "1"),)


class LimitItems(CrashItems):
    """Decodes items; the service has a health check, its upstreams many slots."""

    def endpoint(self, key, value):
        return replace(super().endpoint(key, value), slots=18)

    def config(self, value):
        config = super().config(value)
        services = {
            name: replace(service, health_path="/health")
            for name, service in config.services.items()
        }
        return replace(config, services=services)


class LimitedUpstream(CrashingUpstream):
    """An upstream that reports a rate limit, or that it leaves.

    Attributes
    ----------
    limit : float or None
        Calls per second that it takes; it still runs any further ones.
    leaving : bool
        Whether it reports that it leaves, which the store is not told.
    """

    report = None

    async def call(self, request, instance, deadline, idempotent, on_send):
        outcome = await super().call(request, instance, deadline, idempotent, on_send)
        if not isinstance(outcome, Answer):
            return outcome
        self.report = UpstreamReport(rate_limit=self.limit, leaving=self.leaving)
        return replace(outcome, headers=LEAVING_HEADERS if self.leaving else ())

    async def check_health(self, path, deadline):
        await asyncio.sleep(HEALTH_SECONDS)
        if not self.up or not self.world.health_checks_answered:
            return None
        report = UpstreamReport(rate_limit=self.limit, leaving=self.leaving)
        return HealthAnswer(self.instance, 0.0, report)

    def start(self):
        """Start as a new process, which names no limit."""
        self.limit, self.leaving = None, False
        super().start()

    def name_limit(self, limit):
        """Name a limit from now on; None lifts it."""
        self.limit = limit
        self.world.limits[self.instance].append((self.world.now(), limit))

    def leave(self):
        """Say in all answers from now on that this upstream leaves."""
        self.leaving = True
        self.world.leaving.add(self.instance)


class LimitNode(CrashNode):
    """A sidecar beside an upstream that may name a limit."""

    decoder = LimitItems
    upstream_class = LimitedUpstream


class LimitWorld(CrashWorld):
    """A world that counts the calls at each upstream.

    Attributes
    ----------
    arrivals : dict of str to list of float
        When calls reached each upstream, by instance.
    limits : dict of str to list of tuple of float and float
        When each upstream named which limit.
    leaving : set of str
        Instances that have said that they leave.
    passed_on : dict of str to float
        When each node first passed on such an answer; empty once it has restarted.
    answers : list of tuple of float and Answer
        The final answers to all calls and when they came.
    health_checks_answered : bool
        Whether upstreams answer health checks.
    slowest_refusal : float
        The longest time until a call was refused, in seconds.
    """

    node_class = LimitNode

    def __init__(self, seed, zones=("akaki", "bole")):
        super().__init__(seed, zones)
        self.arrivals = defaultdict(list)
        self.limits = defaultdict(list)
        self.leaving = set()
        self.passed_on = {}
        self.answers = []
        self.health_checks_answered = True
        self.slowest_refusal = 0.0

    def upstream(self, host):
        return self.nodes[host].upstream

    def record_run(self, request, upstream):
        super().record_run(request, upstream)
        self.arrivals[upstream.instance].append(self.now())
        host, begun = self.begun[request.header("x-request-id")]
        passed_on = self.passed_on.get(host, float("inf"))
        if upstream.instance in self.leaving and begun > passed_on + DRAIN_SECONDS:
            self.problems.append(
                f"{upstream.instance}: call of {begun:.2f} from {host}, which had "
                f"passed on at {passed_on:.2f} that it leaves"
            )

    async def ask(self, node, target, left):
        begun = self.now()
        answer = await super().ask(node, target, left)
        if answer is None:
            return None
        self.answers.append((self.now(), answer))
        if answer.status == 503:
            self.slowest_refusal = max(self.slowest_refusal, self.now() - begun)
        if is_leaving(answer.headers, HeaderNames().leaving):
            self.passed_on.setdefault(node.host, self.now())
            serving = node.sidecar.state.directory.serving(SERVICE)
            if self.leaving & {endpoint.instance for endpoint in serving}:
                self.problems.append(f"{node.host}: has not noted that it leaves")
        return answer

    def arrived(self, instance, since, until):
        """Return the number of calls that reached an upstream in a time span."""
        return sum(since <= when < until for when in self.arrivals[instance])

    async def restart_node(self, host, seconds):
        """Kill a node and start it again after some seconds."""
        self.nodes[host].kill()
        self.passed_on.pop(host, None)
        await asyncio.sleep(seconds)
        self.nodes[host].start()

    # Final checks.

    def check_final_state(self):
        super().check_final_state()
        for instance, named in self.limits.items():
            self.check_limit(instance, named)

    def check_limit(self, instance, named):
        """Check every period in which the same limit was in force for long enough."""
        ends = [when for when, _ in named[1:]] + [self.now()]
        for (begun, limit), end in zip(named, ends, strict=True):
            if limit is None:
                continue
            allowed = LIMIT_FACTOR * PERIOD_SECONDS * limit + LIMIT_SLACK
            for since in self.arrivals[instance]:
                until = min(since + PERIOD_SECONDS, end)
                if since < begun + GRACE_SECONDS or since >= end:
                    continue
                count = self.arrived(instance, since, until)
                if count > allowed:
                    self.problems.append(
                        f"{instance}: {count} calls in {PERIOD_SECONDS:g} s from "
                        f"{since:.2f}, {allowed:g} allowed by a limit of {limit}"
                    )
                    break
