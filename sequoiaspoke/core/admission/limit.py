"""Adapt the number of concurrent calls to what the target can run.

The published slots are an upstream's nominal capacity. A degraded upstream has
less, and its health page does not show it. Too many concurrent calls then slow
each other down until none meets its deadline. Latency alone is no evidence of
that: an upstream that waits for a slow dependency is slow at any concurrency,
and a lower limit would only reduce its throughput.

The limit therefore compares the latency near the limit with a recent latency at
half of it. A target that is not overloaded answers as fast at the limit as at
half. Only a ratio above the tolerance lowers the limit, by a tenth. A round of
answers with a lower ratio raises it, by one or faster after a fall. When the
upstream sheds a call, the limit falls at once and stays below that concurrency
for a second.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.settings import AdmissionSettings

WEIGHT = 0.1  # of the newest answer in the moving averages
CALIBRATION_CALLS = 5  # minimum for a new latency at half the limit
UNBOUNDED = 1 << 30  # stands for no limit
MAX_KINDS = 256


class Limit(ABC):
    """Limit the number of concurrent calls."""

    def __init__(self, settings: AdmissionSettings, slots: int) -> None:
        self.settings = settings
        self.slots = max(1, slots)

    def resize(self, slots: int) -> None:
        """Apply the slots published in a new configuration version."""
        self.slots = max(1, slots)

    @abstractmethod
    def current(self) -> int:
        """Return how many calls may run concurrently now."""

    def answered(  # noqa: B027
        self,
        kind: str,
        latency: float,
        concurrency: int,
        now: float,
    ) -> None:
        """Update the limit from an answer.

        Parameters
        ----------
        latency : float
            Seconds from passing the call to the upstream to the response head.
        concurrency : int
            Calls that ran when it started, itself included.
        """

    def shed(self, running: int, now: float) -> None:  # noqa: B027
        """Update the limit after the upstream refused a call at this concurrency."""


class FixedLimit(Limit):
    """Run as many concurrent calls as the target publishes slots."""

    def current(self) -> int:
        """Return the published slots."""
        return self.slots


class NoLimit(Limit):
    """Run all calls at once, as a proxy without admission control does."""

    def current(self) -> int:
        """Return a limit that is never reached."""
        return UNBOUNDED


class AdaptiveLimit(Limit):
    """Lower the limit when concurrency slows calls down, and raise it otherwise."""

    def __init__(self, settings: AdmissionSettings, slots: int) -> None:
        super().__init__(settings, slots)
        self.minimum = max(1.0, settings.least_share * self.slots)
        self.value = float(self.slots)
        self.baselines: dict[str, float] = {}
        self.baseline_at = float("-inf")
        self.ratio = 1.0
        self.answers_in_round = 0
        self.limit_reached = False
        self.compared_answers = 0
        self.calibration_answers_left = 0
        self.shed_level = 0
        self.shed_at = float("-inf")
        self.value_before_fall = self.value
        self.grown_since_fall = False

    def resize(self, slots: int) -> None:
        """Apply newly published slots and keep a limit that is below the old ones."""
        at_maximum = self.value >= self.slots
        super().resize(slots)
        if at_maximum:
            self.value = float(self.slots)
        self.minimum = max(1.0, self.settings.least_share * self.slots)
        self.value = min(max(self.value, self.minimum), float(self.slots))

    def current(self) -> int:
        """Return the adapted limit, or half of it during a calibration."""
        value = self.value / 2 if self.calibration_answers_left else self.value
        return max(1, math.floor(value))

    def answered(self, kind: str, latency: float, concurrency: int, now: float) -> None:
        """Update the mean ratio, and the limit once per round of `limit` answers."""
        if concurrency <= max(1, self.value / 2):
            self.update_baseline(kind, latency, now)
        elif kind in self.baselines:
            ratio = latency / max(self.baselines[kind], 1e-6)
            self.ratio += WEIGHT * (ratio - self.ratio)
            self.compared_answers += 1
        self.limit_reached = self.limit_reached or concurrency >= math.floor(self.value)
        self.answers_in_round += 1
        if (
            self.answers_in_round >= math.floor(self.value)
            and not self.calibration_answers_left
        ):
            self.adjust(now)

    def update_baseline(self, kind: str, latency: float, now: float) -> None:
        """Update the baseline latency with a call that ran at low concurrency."""
        baseline = self.baselines.get(kind)
        if baseline is None or self.calibration_answers_left:
            weight = 2 * WEIGHT if baseline is not None else 1.0
        else:
            weight = WEIGHT
        self.baselines[kind] = weight * latency + (1 - weight) * (baseline or 0.0)
        if len(self.baselines) > MAX_KINDS:
            self.baselines.pop(next(iter(self.baselines)))
        if not self.calibration_answers_left:
            return
        self.calibration_answers_left -= 1
        if self.calibration_answers_left == 0:
            self.baseline_at = now
            self.begin_round(1.0)

    def adjust(self, now: float) -> None:
        """Raise or lower the limit, or calibrate, at the end of a round."""
        outdated = now - self.baseline_at > self.settings.calibration_age
        # A target that is overloaded from its first call on never runs calls at
        # low concurrency, so without a calibration no ratio would be known.
        never_compared = self.limit_reached and not self.compared_answers
        if outdated and (never_compared or self.ratio > self.settings.tolerance):
            self.calibrate()
            return
        if self.ratio > self.settings.tolerance:
            self.lower(self.value)
        elif self.limit_reached and self.may_grow(now):
            # Goes half of the way back to the limit before the fall, so that it
            # recovers from an outage within a few rounds.
            step = max(1.0, (self.value_before_fall - self.value) / 2)
            self.value = min(float(self.slots), self.value + step)
            self.grown_since_fall = True
        self.begin_round(self.ratio)

    def lower(self, level: float) -> None:
        """Lower the limit to a step below a level.

        The value at the start of a series of falls is kept for the recovery.
        """
        if self.grown_since_fall:
            self.value_before_fall = self.value
            self.grown_since_fall = False
        self.value = max(self.minimum, level * self.settings.decrease)

    def may_grow(self, now: float) -> bool:
        """Return whether the limit may grow, given the level of the last shed.

        Calls shed at the minimum limit were not shed because of concurrency, so
        holding the limit down would only prolong an outage.
        """
        if self.shed_level <= self.minimum:
            return True
        if self.value + 1 < self.shed_level:
            return True
        return now - self.shed_at >= self.settings.shed_hold

    def calibrate(self) -> None:
        """Run at half the limit until the latency there has been measured again."""
        self.calibration_answers_left = max(CALIBRATION_CALLS, math.floor(self.value))
        # Kinds without a call in this calibration would otherwise be compared
        # with outdated latencies.
        self.baselines.clear()

    def begin_round(self, ratio: float) -> None:
        """Reset the counters of a round."""
        self.answers_in_round = 0
        self.limit_reached = False
        self.compared_answers = 0
        self.ratio = ratio

    def shed(self, running: int, now: float) -> None:
        """Lower the limit below the concurrency at which the upstream shed a call.

        Several calls may be shed at one level. Lowering the limit for each of
        them would end at the minimum, so calls above the current limit are ignored.
        """
        if running > self.value or running <= 1:
            return
        self.shed_level = running
        self.shed_at = now
        self.lower(min(self.value, running))
        self.begin_round(1.0)


POLICIES = {"adaptive": AdaptiveLimit, "fixed": FixedLimit, "none": NoLimit}


def make_limit(settings: AdmissionSettings, slots: int) -> Limit:
    """Return the limit policy that the settings select."""
    return POLICIES[settings.limit](settings, slots)
