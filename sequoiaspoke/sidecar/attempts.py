"""Make the attempts of a call, one after the other or hedged with a second one."""

from __future__ import annotations

from collections import Counter
from functools import partial
from math import inf, isfinite
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.rendezvous import rank
from sequoiaspoke.core.mesh.admission import RefusalReason, queue_rank
from sequoiaspoke.core.mesh.asking import FEW_UPSTREAMS, Asking, Choices, SlotRequests
from sequoiaspoke.core.mesh.balancer import Balancer
from sequoiaspoke.core.mesh.durations import MeasuredRoutes
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Unknown
from sequoiaspoke.core.mesh.retrybudget import RetryBudgets
from sequoiaspoke.core.mesh.sample import Sampler
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.race import (
    MAX_UNREACHED_ATTEMPTS,
    RETRYABLE_STATUSES,
    Attempt,
    Race,
)
from sequoiaspoke.sidecar.upstreamreport import is_leaving

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.balancer import LoadReport
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.core.mesh.retrybudget import RetryLimits
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.names import HeaderNames
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.race import Progress
    from sequoiaspoke.sidecar.state import MeshState


class Attempts:
    """Chooses endpoints, sends calls to their homes and learns from the outcomes.

    Attributes
    ----------
    reasons : Counter of str
        Failed attempts, hedges, refusals, failures and slot requests so far, by reason.
    regions : dict of str to str
        Region of each availability zone.
    measured : MeasuredRoutes
        Durations of answered calls, which homes that started later are told.
    """

    def __init__(
        self,
        state: MeshState,
        home: Home,
        peers: Peers,
        retry_limits: RetryLimits,
        regions: dict[str, str],
        names: HeaderNames,
        log: EventLog,
    ) -> None:
        self.state = state
        self.home = home
        self.peers = peers
        self.regions = regions
        self.leaving_header = names.leaving
        self.log = log
        self.deadlines = Deadlines()
        self.balancer = Balancer(peers.identity.zone)
        self.sampler = Sampler(peers.rng)
        self.measured = MeasuredRoutes()
        self.asking = Asking(self.balancer, self.sampler)
        self.budgets = RetryBudgets(retry_limits)
        self.reasons: Counter[str] = Counter()
        self.local_calls = 0
        peers.on_load_report = self.load_reported

    def take_retry(self, service: str) -> bool:
        """Take a retry out of a service's budget; return whether there was room."""
        budget = self.budgets.of(service)
        return budget.spend(self.peers.node_count(), clock.now())

    def choose(self, progress: Progress) -> Endpoint | None:
        """Return the endpoint for the next attempt, None if there is none."""
        progress.max_wait = inf
        if progress.unreached == MAX_UNREACHED_ATTEMPTS:
            endpoint = self.stopping_endpoint(progress)
            if endpoint is not None:
                return endpoint
        if self.suspected(progress):
            endpoint = self.suspect_endpoint(progress)
        else:
            endpoint = self.slot_request(progress) or self.choose_by_reports(progress)
        return endpoint or self.stopping_endpoint(progress)

    def stopping_endpoint(self, progress: Progress) -> Endpoint | None:
        """Return an endpoint whose home may take the call although it stops, if any.

        Otherwise all calls with long timeouts would be refused by all homes where all
        of them are restarted.
        """
        while progress.stopping:
            endpoint = progress.stopping.pop(0)
            if self.may_be_asked_again(progress, endpoint):
                progress.last_resort = True
                return endpoint
        return None

    def may_be_asked_again(self, progress: Progress, endpoint: Endpoint) -> bool:
        """Return whether a home that has refused a call as it stops may take it."""
        return self.serves(progress, endpoint) and self.usable(endpoint)

    def serves(self, progress: Progress, endpoint: Endpoint) -> bool:
        """Return whether an endpoint still takes calls of the service of a call."""
        serving = self.state.directory.serving(progress.service)
        return any(each.incarnation == endpoint.incarnation for each in serving)

    def slot_request(self, progress: Progress) -> Endpoint | None:
        """Return the home to ask for a slot, or to wait at after busy ones, if any."""
        if progress.requests is None and self.asks(progress.service):
            request = progress.request
            progress.requests = SlotRequests(
                progress.route, request.nested, len(request.body), progress.on_time
            )
        requests = progress.requests
        if requests is None:
            return None
        now, directory = clock.now(), self.state.directory
        choices = Choices(
            directory.group(progress.service),
            lambda endpoint: self.eligible(progress, endpoint),
            lambda instance: directory.is_cold(instance, now),
        )
        placement = self.asking.place(requests, choices, now)
        if placement is None:
            return None
        progress.max_wait = placement.max_wait
        if not isfinite(placement.max_wait):
            self.reasons["waited"] += 1
        return placement.endpoint

    def asks(self, service: str) -> bool:
        """Return whether calls of a service request a slot before they wait for it."""
        table = self.state.table
        if table is None or not table.has_large_bodies:
            return False
        return len(self.state.directory.group(service).endpoints) > FEW_UPSTREAMS

    def choose_by_reports(self, progress: Progress) -> Endpoint | None:
        """Return the endpoint of a sample that is best by its load reports."""
        now = clock.now()
        directory = self.state.directory
        return self.balancer.choose(
            progress.route,
            self.candidates(progress),
            lambda instance: directory.is_cold(instance, now),
            now,
            progress.on_time - now,
        )

    def suspect_endpoint(self, progress: Progress) -> Endpoint | None:
        """Return the endpoint to which all entries send a suspected request.

        Its home runs the copies one after the other, so that the request can crash
        only one upstream at a time.
        """
        group = self.state.directory.group(progress.service)
        by_instance = {each.instance: each for each in group.endpoints}
        for instance in rank(progress.request.fingerprint, by_instance):
            if self.eligible(progress, by_instance[instance]):
                return by_instance[instance]
        return None

    def candidates(self, progress: Progress) -> list[Endpoint]:
        """Return a sample of the eligible endpoints to choose from."""
        group = self.state.directory.group(progress.service)
        same_zone = group.in_zone(self.peers.identity.zone)
        return self.sampler.candidates(
            group.endpoints, same_zone, lambda each: self.eligible(progress, each)
        )

    def eligible(self, progress: Progress, endpoint: Endpoint) -> bool:
        """Return whether a call may be sent to an endpoint."""
        return (
            endpoint.incarnation not in progress.tried
            and self.allowed(progress.route, endpoint)
            and self.usable(endpoint)
        )

    def allowed(self, route: Route, endpoint: Endpoint) -> bool:
        """Return whether a route's calls may be sent to the region of an endpoint.

        A zone without a known region is allowed only by routes that name no regions.
        """
        return not route.regions or self.regions.get(endpoint.zone) in route.regions

    def no_endpoint_reason(self, progress: Progress) -> str:
        """Return why no endpoint is left for a call."""
        directory = self.state.directory
        if progress.tried or directory.serving(progress.service):
            return "no-endpoint"
        return "zones-evacuated" if directory.grouping.excluded_zones else "no-endpoint"

    def has_candidates(self, progress: Progress) -> bool:
        """Return whether there is an eligible endpoint not yet tried for a call."""
        return bool(self.candidates(progress))

    def has_endpoints(self, progress: Progress) -> bool:
        """Return whether another endpoint may be asked, one that stops included."""
        return self.has_candidates(progress) or any(
            self.may_be_asked_again(progress, each) for each in progress.stopping
        )

    def usable(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's home can be reached and accepts calls."""
        if endpoint.host == self.peers.identity.host:
            return not self.home.leaving
        return self.peers.reachable(endpoint)

    async def call(
        self, progress: Progress, endpoint: Endpoint
    ) -> tuple[Endpoint, Outcome]:
        """Send a call to an endpoint and hedge it at a second if it takes too long.

        Without the hedge, a call to an upstream that has just turned slow or whose
        answer was lost would wait until its deadline.
        """
        if progress.expired:
            # The deadline passed between two attempts.
            raise TimeoutError
        progress.discard()
        race = progress.race = Race()
        self.start(progress, endpoint, race, progress.max_wait)
        hedge_timer = None
        if self.may_hedge(progress) and not race.result.done():
            now = clock.now()
            delay = self.balancer.hedge_delay(progress.route.name, endpoint, now)
            hedge_timer = self.deadlines.call_at(
                now + delay, partial(self.hedge, progress, race)
            )
        try:
            result = await race.result
        finally:
            if hedge_timer is not None:
                hedge_timer.cancel()
            race.cancel()
        if result is None:
            raise TimeoutError
        return result

    def may_hedge(self, progress: Progress) -> bool:
        """Return whether a call may run at two upstreams at once."""
        return progress.route.idempotent and not self.suspected(progress)

    def suspected(self, progress: Progress) -> bool:
        """Return whether a call's request may have crashed an upstream."""
        return self.home.crash_guard.suspected(progress.service, progress.request)

    def quarantine_seconds(self, progress: Progress) -> float:
        """Return the seconds for which a call's request stays in quarantine."""
        return self.home.crash_guard.held_seconds(progress.service, progress.request)

    def start(
        self, progress: Progress, endpoint: Endpoint, race: Race, max_wait: float
    ) -> None:
        """Start an attempt at an endpoint."""
        attempt = Attempt(
            progress,
            endpoint,
            race,
            max_wait,
            self.attempt_ended,
            self.attempt_cancelled,
        )
        race.attempts.append(attempt)
        if isfinite(max_wait):
            self.reasons["asked"] += 1
        self.balancer.begin(endpoint.incarnation)
        self.send_to_home(attempt)

    def hedge(self, progress: Progress, race: Race) -> None:
        """Start a second attempt at another endpoint if limits and budget allow."""
        (first,) = race.attempts
        if first.finished or progress.reached + 2 > progress.route.attempts:
            return
        if progress.ending or self.suspected(progress):
            return
        progress.tried.add(first.endpoint.incarnation)
        second = self.choose_by_reports(progress)
        if second is None or not self.take_retry(progress.service):
            return
        self.reasons["hedged"] += 1
        self.log.call(
            "hedge",
            progress.request,
            service=progress.service,
            instance=first.endpoint.instance,
            second=second.instance,
            left=f"{progress.deadline - clock.now():.3f}",
        )
        self.start(progress, second, race, inf if progress.requests is None else 0.0)

    def send_to_home(self, attempt: Attempt) -> None:
        """Submit the call to the home of the attempt's endpoint."""
        progress, endpoint = attempt.progress, attempt.endpoint
        call = HomeCall(
            progress.request,
            endpoint.incarnation,
            progress.route.name,
            queue_rank(progress.route.priority, progress.request.nested),
            progress.route.idempotent,
            progress.on_time,
            progress.deadline,
            attempt.max_wait,
            large_body=progress.route.large_bodies,
            last_resort=progress.last_resort,
            measured=self.measured.of(progress.route.name, clock.now()),
        )
        if endpoint.host == self.peers.identity.host:
            self.run_locally(attempt, call)
            return
        link = self.peers.link(endpoint.host)
        pending = link.submit(
            call, lambda outcome: attempt.finish(outcome, link.load_report)
        )
        attempt.pending = pending
        pending.can_retry = partial(self.can_retry, attempt)
        attempt.cancel_at_home = partial(link.cancel, pending)
        attempt.withdraw_at_home = partial(link.withdraw, pending)

    def can_retry(self, attempt: Attempt) -> bool:
        """Return whether a call goes on if an attempt under way is failed."""
        progress = attempt.progress
        if any(each is not attempt for each in progress.attempts_under_way()):
            return True
        budget = self.budgets.of(progress.service)
        return (
            not progress.ending
            and progress.reached + 1 < progress.route.attempts
            and self.has_candidates(progress)
            and budget.has_room(self.peers.node_count(), clock.now())
        )

    def run_locally(self, attempt: Attempt, call: HomeCall) -> None:
        """Submit a call to this node's own home."""
        self.local_calls += 1
        key = ("here", self.local_calls)
        attempt.cancel_at_home = partial(self.home.cancel, key)
        attempt.withdraw_at_home = partial(self.home.withdraw, key)

        def on_outcome(outcome: Outcome) -> None:
            attempt.finish(outcome, self.home.load_report(call.route, call.rank))

        self.home.submit(key, call, on_outcome)

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, report: LoadReport
    ) -> None:
        """Take crash report, load report and outcome of a finished attempt."""
        incarnation, now = attempt.endpoint.incarnation, clock.now()
        if isinstance(outcome, Unknown) and outcome.crash is not None:
            self.home.crash_guard.record_reports([outcome.crash])
        leaving = (
            isinstance(outcome, NotRun) and outcome.reason == RefusalReason.LEAVING
        )
        if leaving and not attempt.progress.last_resort:
            attempt.progress.stopping.append(attempt.endpoint)
        self.balancer.end(incarnation)
        self.balancer.record_load(incarnation, attempt.progress.route.name, report, now)
        self.record_outcome(attempt.progress, incarnation, outcome, now)
        self.record_request(attempt, outcome, report, now)
        self.note_departure(incarnation, outcome)

    def record_request(
        self, attempt: Attempt, outcome: Outcome, report: LoadReport, now: float
    ) -> None:
        """Record the result of a slot request, or that a waiting call was passed on."""
        progress, endpoint = attempt.progress, attempt.endpoint
        requests, busy = progress.requests, is_busy(progress, outcome)
        if requests is None or not (busy or isfinite(attempt.max_wait)):
            return
        self.reasons[RefusalReason.BUSY] += busy
        if not isfinite(attempt.max_wait):
            progress.tried.add(endpoint.incarnation)
            requests.ask_again()
            return
        if busy:
            requests.record_busy(endpoint, report.wait)
        elif isinstance(outcome, NotRun) and not outcome.from_upstream:
            return
        else:
            self.reasons["granted"] += 1
        self.asking.room(progress.service).record(endpoint.zone, busy, now)

    def note_departure(self, incarnation: Incarnation, outcome: Outcome) -> None:
        """Choose an upstream no more that says, or whose home says, that it leaves."""
        if isinstance(outcome, Answer):
            leaving = is_leaving(outcome.headers, self.leaving_header)
        else:
            leaving = outcome.reason == RefusalReason.INSTANCE_LEAVING
        if leaving and self.state.directory.mark_draining(incarnation):
            self.log.event("upstream-leaving", instance=incarnation.instance)

    def attempt_cancelled(self, attempt: Attempt) -> None:
        """Note that an attempt was cancelled."""
        self.balancer.end(attempt.endpoint.incarnation)

    def load_reported(self, host: str, report: LoadReport) -> None:
        """Take a load report that a home sent without an answer."""
        now = clock.now()
        for endpoint in self.state.directory.at_host(host):
            self.balancer.record_load(endpoint.incarnation, "", report, now)

    def record_outcome(
        self, progress: Progress, incarnation: Incarnation, outcome: Outcome, now: float
    ) -> None:
        """Update the statistics of an upstream with the outcome of an attempt."""
        if isinstance(outcome, Answer):
            self.measured.record(progress.route.name, outcome.seconds, now)
            if outcome.status in RETRYABLE_STATUSES:
                self.balancer.record_failure(incarnation, now)
            else:
                size = len(progress.request.body) + len(outcome.body)
                self.balancer.record_answer(
                    progress.route.name, incarnation, outcome.seconds, size
                )
        elif isinstance(outcome, Unknown) or outcome.from_upstream:
            self.balancer.record_failure(incarnation, now)


def is_busy(progress: Progress, outcome: Outcome) -> bool:
    """Return whether a home that was asked refused a call for want of a free slot.

    That is no failure: it is no attempt, and the call may still wait at this home.
    """
    return (
        progress.requests is not None
        and isinstance(outcome, NotRun)
        and outcome.reason == RefusalReason.BUSY
    )
