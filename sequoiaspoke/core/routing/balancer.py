"""Choose the target of each attempt.

Many nodes choose among the same targets without coordination. If each took the
least loaded one by its reports, all would pick the same target; round robin
ignores slow targets and piles up work at them. Choosing the better of two random
targets, by the node's own calls in flight and by aged load reports, avoids both:
the random draw spreads the nodes, and a slow target holds its calls longer and
so gets fewer.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.ejection import Ejector
from sequoiaspoke.core.routing.load import LoadView
from sequoiaspoke.core.routing.model import (
    Choice,
    ChoiceReason,
    Outcome,
    UpstreamState,
)
from sequoiaspoke.core.routing.slowstart import SlowStart
from sequoiaspoke.errors import NoTargetError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sequoiaspoke.core.routing.model import LoadReport, RouteContext
    from sequoiaspoke.core.routing.settings import RoutingSettings
    from sequoiaspoke.core.rules.model import Endpoint

FAILURES = frozenset({Outcome.FAILED, Outcome.TIMED_OUT})
# Within this time a new VM list or a recovery probe may make a target available.
NO_TARGET_RETRY_AFTER = 1.0


class Balancer(ABC):
    """Choose targets and track the outcomes of their calls.

    Attributes
    ----------
    chosen : Counter of ChoiceReason
        Number of choices by reason.
    """

    def __init__(self, settings: RoutingSettings, zone: str, rng: Random) -> None:
        self.settings = settings
        self.zone = zone
        self.rng = rng
        self.load = LoadView(settings)
        self.ejector = Ejector(settings)
        self.slow_start = SlowStart(settings)
        self.known_endpoints: dict[str, Sequence[Endpoint]] = {}
        self.leaving: frozenset[str] = frozenset()
        self.chosen: Counter[ChoiceReason] = Counter()

    def choose(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        context: RouteContext,
        exclude: frozenset[str],
        now: float,
    ) -> Choice:
        """Return the target of the next attempt.

        Parameters
        ----------
        exclude : frozenset of str
            Targets of earlier attempts of the same call.

        Raises
        ------
        NoTargetError
            Every target is excluded or leaving.
        """
        self.update_endpoints(service, endpoints, now)
        accepting = [each for each in endpoints if not self.is_leaving(each, now)]
        probe = self.probe(accepting, context, exclude, now)
        if probe:
            return self.count_choice(probe)
        names = [each.target for each in accepting]
        usable = self.ejector.usable(names, self.load.down(accepting, now))
        candidates = [each for each in accepting if each.target not in exclude]
        preferred = [each for each in candidates if each.target in usable] or candidates
        if not preferred:
            raise NoTargetError(
                f"service={service} targets={len(endpoints)} excluded={len(exclude)}",
                NO_TARGET_RETRY_AFTER,
            )
        return self.count_choice(self.pick(service, preferred, context, now))

    @abstractmethod
    def pick(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        context: RouteContext,
        now: float,
    ) -> Choice:
        """Return one of the eligible targets."""

    def probe(
        self,
        endpoints: Sequence[Endpoint],
        context: RouteContext,
        exclude: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Return an ejected target that this call may probe, or None."""
        if not context.may_probe:
            return None
        for each in endpoints:
            due = each.target not in exclude and self.ejector.probe_due(
                each.target, now
            )
            if due:
                self.ejector.probe(each.target)
                return Choice(each, ChoiceReason.PROBE)
        return None

    def is_leaving(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a target is leaving and gets no new calls."""
        if endpoint.vm in self.leaving:
            return True
        return self.load.state(endpoint.target, now) is UpstreamState.LEAVING

    def count_choice(self, choice: Choice) -> Choice:
        """Count a choice by its reason."""
        self.chosen[choice.reason] += 1
        return choice

    def update_endpoints(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> None:
        """Begin slow start of added targets and forget the removed ones."""
        known = self.known_endpoints.get(service)
        if known is endpoints:
            return
        self.known_endpoints[service] = endpoints
        if known is None:
            # The service is new to this node, but its targets need not be new.
            return
        before = {each.target for each in known}
        names = {each.target for each in endpoints}
        for name in names - before:
            self.slow_start.begin(name, now)
        for name in before - names:
            self.forget(name)

    def retain(self, services: frozenset[str]) -> None:
        """Forget all services but these, and their targets."""
        for service in self.known_endpoints.keys() - services:
            for each in self.known_endpoints.pop(service):
                self.forget(each.target)

    def forget(self, target: str) -> None:
        """Drop the state of a target that was removed."""
        self.load.forget(target)
        self.ejector.forget(target)
        self.slow_start.forget(target)

    def set_leaving(self, vms: frozenset[str]) -> None:
        """Set the VMs that the platform's list shows as leaving."""
        self.leaving = vms

    def started(self, target: str, now: float) -> None:  # noqa: ARG002
        """Record that an attempt is sent to a target."""
        self.load.target_load(target).in_flight += 1

    def finished(
        self,
        target: str,
        outcome: Outcome,
        latency: float,
        now: float,
    ) -> None:
        """Record the outcome of an attempt, once for each `started`."""
        load = self.load.target_load(target)
        load.in_flight = max(0, load.in_flight - 1)
        if outcome in FAILURES:
            self.ejector.failed(target, now)
            return
        if outcome is Outcome.REFUSED:
            load.refused_until = now + self.settings.refusal_memory
        if outcome is Outcome.CANCELLED:
            self.ejector.inconclusive(target)
            return
        if outcome is Outcome.ANSWERED:
            self.load.answered(target, latency, now)
        if self.ejector.succeeded(target):
            self.slow_start.begin(target, now)

    def report(self, target: str, report: LoadReport, now: float) -> None:
        """Record a load report of a target's home node."""
        before = self.load.report(target, report, now)
        if report.state is UpstreamState.COLD or (
            before is UpstreamState.DOWN and report.state is UpstreamState.READY
        ):
            self.slow_start.begin(target, now)
