"""What a load scenario consists of, as plain data."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sequoiaspoke.core.admission.settings import AdmissionSettings
from sequoiaspoke.core.routing.settings import RoutingSettings
from sequoiaspoke.core.rules.model import CallPolicy, Priority

ALWAYS = float("inf")


@dataclass(frozen=True)
class Traffic:
    """Calls of one class of callers.

    Attributes
    ----------
    rate : float
        Calls a second, of all its callers together, at random times.
    callers : int
        How many callers share the rate.
    seconds : float
        Mean time a call takes at a target that is not crowded.
    start, end : float
        Between which times it comes.
    key : str
        What all its calls are about; empty for nothing in particular.
    """

    name: str
    rate: float
    callers: int = 10
    seconds: float = 0.05
    start: float = 0.0
    end: float = ALWAYS
    key: str = ""
    priority: Priority = Priority.ORDINARY
    timeout: float = 1.0
    idempotent: bool = True
    attempts: int = 3

    @property
    def policy(self) -> CallPolicy:
        """Return what the rule of these calls says."""
        return CallPolicy(self.timeout, self.attempts, self.idempotent, self.priority)


@dataclass(frozen=True)
class TargetModel:
    """One target and how it behaves, whatever it publishes.

    Attributes
    ----------
    bears : int
        Calls it runs at once before each gets slower.
    collapse : float
        Power with which crowding slows calls; at 1 its throughput stays whole.
    sheds_at : int
        Calls at once from which it sheds; 0 for never.
    """

    zone: str = "bole"
    slots: int = 10
    bears: int = 10
    collapse: float = 1.0
    sheds_at: int = 0


@dataclass(frozen=True)
class Change:
    """A target's behaviour changes at a time."""

    at: float
    target: int
    dead: bool = False
    slower: float = 1.0
    cold: float = 0.0  # seconds over which a fresh process warms up
    refuses: bool = False  # sheds every call


@dataclass(frozen=True)
class Scenario:
    """A pattern of load and what happens meanwhile.

    Attributes
    ----------
    measured_from : float
        Time from which calls are counted.
    report_lag : float
        Seconds by which load reports lie behind the truth.
    lie : bool
        Whether every target reports that it is down although it is not.
    """

    name: str
    traffic: tuple[Traffic, ...]
    targets: tuple[TargetModel, ...] = (TargetModel(),) * 3
    changes: tuple[Change, ...] = ()
    entry_zones: tuple[str, ...] = ("bole",) * 6
    duration: float = 12.0
    measured_from: float = 2.0
    report_lag: float = 0.0
    lie: bool = False


@dataclass(frozen=True)
class Policy:
    """The decisions in use: the product's, or a baseline for some of them."""

    name: str
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)


def policies() -> dict[str, Policy]:
    """Return the product's decisions and the baselines, by name."""
    admission, routing = AdmissionSettings(), RoutingSettings()
    unbounded = replace(routing, retry_ratio=1e6, retry_reserve=1e6, retry_delay=0.0)
    table = (
        Policy("sequoiaspoke"),
        Policy("no-limit", admission=replace(admission, limit="none")),
        Policy("fixed-limit", admission=replace(admission, limit="fixed")),
        Policy(
            "fifo-queue", admission=replace(admission, queue="fifo", queue_calls=100000)
        ),
        Policy("round-robin", routing=replace(routing, policy="round-robin")),
        Policy("unbounded-retries", routing=unbounded),
    )
    return {policy.name: policy for policy in table}
