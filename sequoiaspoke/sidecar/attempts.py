"""Try endpoints for a call, one after the other or a second beside the first."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.rendezvous import rank
from sequoiaspoke.core.mesh.admission import queue_rank
from sequoiaspoke.core.mesh.balancer import Balancer
from sequoiaspoke.core.mesh.outcome import Answer, Unknown
from sequoiaspoke.core.mesh.retrybudget import RetryBudgets
from sequoiaspoke.core.mesh.sample import Sampler
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.race import TRY_ELSEWHERE, Attempt, Race

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.balancer import LoadReport
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.core.mesh.retrybudget import RetryLimits
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.race import Progress
    from sequoiaspoke.sidecar.state import MeshState


class Attempts:
    """Chooses endpoints, has their homes run calls and learns from what comes of it.

    Attributes
    ----------
    reasons : Counter of str
        Failed attempts, hedges, refusals and failures so far, by reason.
    regions : dict of str to str
        Region of each availability zone.
    """

    def __init__(
        self,
        state: MeshState,
        home: Home,
        peers: Peers,
        repeats: RetryLimits,
        regions: dict[str, str],
        log: EventLog,
    ) -> None:
        self.state = state
        self.home = home
        self.peers = peers
        self.regions = regions
        self.log = log
        self.deadlines = Deadlines()
        self.placing = Balancer(peers.identity.zone)
        self.sample = Sampler(peers.rng)
        self.budgets = RetryBudgets(repeats)
        self.reasons: Counter[str] = Counter()
        self.local_calls = 0
        peers.on_news = self.heard

    def repeat(self, service: str) -> bool:
        """Take a repeat out of the budget of a service if there is room."""
        budget = self.budgets.of(service)
        return budget.spend(self.peers.nodes(), clock.now())

    def choose(self, progress: Progress) -> Endpoint | None:
        """Return the endpoint of the next attempt."""
        if self.suspected(progress):
            return self.endpoint_of_suspect(progress)
        now = clock.now()
        directory = self.state.directory
        return self.placing.choose(
            progress.route,
            self.candidates(progress),
            lambda instance: directory.cold(instance, now),
            now,
            progress.on_time - now,
        )

    def endpoint_of_suspect(self, progress: Progress) -> Endpoint | None:
        """Return the endpoint to which all entries send a suspected request.

        There one copy of it runs after the other, so that it can crash one upstream
        and not all of them at once.
        """
        group = self.state.directory.group(progress.service)
        found = {each.instance: each for each in group.endpoints}
        for instance in rank(progress.request.fingerprint, found):
            if self.open_to(progress, found[instance]):
                return found[instance]
        return None

    def candidates(self, progress: Progress) -> list[Endpoint]:
        """Return the endpoints among which an attempt's is chosen."""
        group = self.state.directory.group(progress.service)
        near = group.in_zone(self.peers.identity.zone)
        return self.sample.candidates(
            group.endpoints, near, lambda each: self.open_to(progress, each)
        )

    def open_to(self, progress: Progress, endpoint: Endpoint) -> bool:
        """Return whether a call may be tried at an endpoint."""
        return (
            endpoint.incarnation not in progress.tried
            and self.allowed(progress.route, endpoint)
            and self.usable(endpoint)
        )

    def allowed(self, route: Route, endpoint: Endpoint) -> bool:
        """Return whether a route's calls may be sent to the region of an endpoint.

        A zone of which no region is known may lie anywhere.
        """
        return not route.regions or self.regions.get(endpoint.zone) in route.regions

    def lacking(self, progress: Progress) -> str:
        """Return why no endpoint is left for a call."""
        directory = self.state.directory
        if progress.tried or directory.serving(progress.service):
            return "no-endpoint"
        return "zones-evacuated" if directory.grouping.closed_zones else "no-endpoint"

    def others_left(self, progress: Progress) -> bool:
        """Return whether there is an endpoint that a call was not tried at."""
        return bool(self.candidates(progress))

    def usable(self, endpoint: Endpoint) -> bool:
        """Return whether calls to an endpoint are worth a try."""
        if endpoint.host == self.peers.identity.host:
            return not self.home.leaving
        return self.peers.reachable(endpoint)

    async def call(
        self, progress: Progress, endpoint: Endpoint
    ) -> tuple[Endpoint, Outcome]:
        """Try an endpoint, and a second one beside it if the first takes too long.

        An upstream that has just turned slow, or whose answer was lost, is known by
        nothing else; the call would wait for it until its time is over.
        """
        if progress.over:
            # Its time ran out between two attempts.
            raise TimeoutError
        race = progress.race = Race()
        self.start(progress, endpoint, race)
        hedge = None
        if self.may_hedge(progress) and not race.decided.done():
            now = clock.now()
            delay = self.placing.hedge_delay(progress.route.name, endpoint, now)
            hedge = self.deadlines.at(now + delay, partial(self.hedge, progress, race))
        try:
            return await race.decided
        finally:
            if hedge is not None:
                hedge.cancel()
            race.cancel()

    def may_hedge(self, progress: Progress) -> bool:
        """Return whether a call may run at two upstreams at once."""
        return progress.route.idempotent and not self.suspected(progress)

    def suspected(self, progress: Progress) -> bool:
        """Return whether a call's request may have crashed an upstream."""
        return self.home.suspicion.suspected(progress.service, progress.request)

    def held_seconds(self, progress: Progress) -> float:
        """Return for how much longer a call's request is held back."""
        return self.home.suspicion.held_seconds(progress.service, progress.request)

    def start(self, progress: Progress, endpoint: Endpoint, race: Race) -> None:
        """Begin an attempt."""
        attempt = Attempt(progress, endpoint, race, self.ended, self.cancelled)
        race.attempts.append(attempt)
        self.placing.begin(endpoint.incarnation)
        self.begin(attempt)

    def hedge(self, progress: Progress, race: Race) -> None:
        """Try a call at a second endpoint beside the first, if that may be done."""
        (first,) = race.attempts
        if first.over or progress.reached + 2 > progress.route.attempts:
            return
        if self.suspected(progress):
            return
        progress.tried.add(first.endpoint.incarnation)
        second = self.choose(progress)
        if second is None or not self.repeat(progress.service):
            return
        progress.reached += 1
        progress.may_have_run = True
        self.reasons["hedged"] += 1
        self.log.call(
            "hedge",
            progress.request,
            service=progress.service,
            instance=first.endpoint.instance,
            second=second.instance,
            left=f"{progress.deadline - clock.now():.3f}",
        )
        self.start(progress, second, race)

    def begin(self, attempt: Attempt) -> None:
        """Have the home of an endpoint run the call."""
        progress, endpoint = attempt.progress, attempt.endpoint
        call = HomeCall(
            progress.request,
            endpoint.incarnation,
            progress.route.name,
            queue_rank(progress.route.priority, progress.request.nested),
            progress.route.idempotent,
            progress.on_time,
            progress.deadline,
        )
        if endpoint.host == self.peers.identity.host:
            self.begin_here(attempt, call)
            return
        link = self.peers.link(endpoint.host)
        pending = link.submit(call, lambda outcome: attempt.take(outcome, link.news))
        attempt.call_off = partial(link.withdraw, pending)

    def begin_here(self, attempt: Attempt, call: HomeCall) -> None:
        """Have the home of this node run a call."""
        self.local_calls += 1
        key = ("here", self.local_calls)
        attempt.call_off = partial(self.home.cancel, key)

        def tell(outcome: Outcome) -> None:
            attempt.take(outcome, self.home.news(call.route, call.rank))

        self.home.submit(key, call, tell)

    def ended(self, attempt: Attempt, outcome: Outcome, news: LoadReport) -> None:
        """Learn from what came of an attempt."""
        start, now = attempt.endpoint.incarnation, clock.now()
        if isinstance(outcome, Unknown) and outcome.crash is not None:
            self.home.suspicion.learn([outcome.crash])
        self.placing.end(start)
        self.placing.record_load(start, attempt.progress.route.name, news, now)
        self.measure(attempt.progress, start, outcome, now)

    def cancelled(self, attempt: Attempt) -> None:
        """Note that an attempt was called off."""
        self.placing.end(attempt.endpoint.incarnation)

    def heard(self, host: str, news: LoadReport) -> None:
        """Take a home's word that came without a call."""
        now = clock.now()
        for endpoint in self.state.directory.at_host(host):
            self.placing.record_load(endpoint.incarnation, "", news, now)

    def measure(
        self, progress: Progress, start: Incarnation, outcome: Outcome, now: float
    ) -> None:
        """Learn from what came of an attempt."""
        if isinstance(outcome, Answer):
            if outcome.status in TRY_ELSEWHERE:
                self.placing.record_failure(start, now)
            else:
                size = len(progress.request.body) + len(outcome.body)
                self.placing.record_answer(
                    progress.route.name, start, outcome.seconds, size
                )
        elif isinstance(outcome, Unknown) or outcome.from_upstream:
            self.placing.record_failure(start, now)
