"""Learn how many calls the target runs well at once.

The published slots are what an upstream should bear; a sick one bears less and
its health page does not say so. Too many calls at once then make each slower
until none meets its deadline. Latency alone does not show it: an upstream that
is slow for reasons of its own, such as a service behind it, is slow at any
concurrency, and lowering the limit would only throw its throughput away. So the
limit compares: latency near the limit with latency at half of it, measured
within the last seconds. Half, because a target that is not crowded answers as
fast at half as at full. Only a ratio above the tolerance lowers the limit, by a
tenth; each round of calls without one raises it by one. An upstream that sheds
lowers it at once and keeps it below that level for a second.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.settings import AdmissionSettings

WEIGHT = 0.1  # of the newest call in the mean ratio
CALIBRATION_CALLS = 5  # at least, for the latency at half the limit
UNBOUNDED = 1 << 30
MAX_KINDS = 256


class Limit(ABC):
    """Bound the calls that run at once."""

    def __init__(self, settings: AdmissionSettings, slots: int) -> None:
        self.settings = settings
        self.slots = max(1, slots)

    def resize(self, slots: int) -> None:
        """Take over the slots of a new version."""
        self.slots = max(1, slots)

    @abstractmethod
    def current(self) -> int:
        """Return how many calls may run at once now."""

    def answered(  # noqa: B027
        self,
        kind: str,
        latency: float,
        concurrency: int,
        now: float,
    ) -> None:
        """Learn from an answer.

        Parameters
        ----------
        latency : float
            Seconds from hand-over to the head of the answer.
        beside : int
            Calls that ran when it began, itself included.
        """

    def shed(self, running: int, now: float) -> None:  # noqa: B027
        """Learn from the upstream's own refusal while so many calls ran."""


class FixedLimit(Limit):
    """Run as many calls as the target publishes slots; learn nothing."""

    def current(self) -> int:
        """Return the published slots."""
        return self.slots


class NoLimit(Limit):
    """Run everything at once; what a proxy without a limit does."""

    def current(self) -> int:
        """Return a number that is never reached."""
        return UNBOUNDED


class AdaptiveLimit(Limit):
    """Lower the limit where concurrency makes calls slower."""

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
        """Take over the slots of a new version; what was learnt stays."""
        at_maximum = self.value >= self.slots
        super().resize(slots)
        if at_maximum:
            self.value = float(self.slots)
        self.minimum = max(1.0, self.settings.least_share * self.slots)
        self.value = min(max(self.value, self.minimum), float(self.slots))

    def current(self) -> int:
        """Return the learnt limit, or half of it while calibrating."""
        value = self.value / 2 if self.calibration_answers_left else self.value
        return max(1, math.floor(value))

    def answered(self, kind: str, latency: float, concurrency: int, now: float) -> None:
        """Learn from an answer; decide once a round of `limit` answers."""
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
        """Take in the latency of a call that ran beside few others."""
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
        """Move the limit at the end of a round."""
        outdated = now - self.baseline_at > self.settings.calibration_age
        # Overloaded from its first call on, a target never runs calls beside
        # few others, and nothing would ever be compared.
        never_compared = self.limit_reached and not self.compared_answers
        if outdated and (never_compared or self.ratio > self.settings.tolerance):
            self.calibrate()
            return
        if self.ratio > self.settings.tolerance:
            self.lower(self.value)
        elif self.limit_reached and self.may_grow(now):
            # Half of the way back to where the limit was before it fell, so
            # that what an outage took is back within a few rounds.
            step = max(1.0, (self.value_before_fall - self.value) / 2)
            self.value = min(float(self.slots), self.value + step)
            self.grown_since_fall = True
        self.begin_round(self.ratio)

    def lower(self, level: float) -> None:
        """Go a step below a level, remembering where a fall began."""
        if self.grown_since_fall:
            self.value_before_fall = self.value
            self.grown_since_fall = False
        self.value = max(self.minimum, level * self.settings.decrease)

    def may_grow(self, now: float) -> bool:
        """Return whether the limit may pass the level of the last shed.

        Calls shed at the floor were not shed for their number; waiting after
        an outage would only lengthen it.
        """
        if self.shed_level <= self.minimum:
            return True
        if self.value + 1 < self.shed_level:
            return True
        return now - self.shed_at >= self.settings.shed_hold

    def calibrate(self) -> None:
        """Run at half the limit until the latency there is known anew."""
        self.calibration_answers_left = max(CALIBRATION_CALLS, math.floor(self.value))
        # Kinds that no call of this calibration shows would go on being
        # compared with how the upstream was before.
        self.baselines.clear()

    def begin_round(self, ratio: float) -> None:
        """Start counting answers anew."""
        self.answers_in_round = 0
        self.limit_reached = False
        self.compared_answers = 0
        self.ratio = ratio

    def shed(self, running: int, now: float) -> None:
        """Go below the level at which the upstream shed.

        Several calls are shed at one level; lowering the limit for each would
        end at its floor, so only those within the present limit count.
        """
        if running > self.value or running <= 1:
            return
        self.shed_level = running
        self.shed_at = now
        self.lower(min(self.value, running))
        self.begin_round(1.0)


POLICIES = {"adaptive": AdaptiveLimit, "fixed": FixedLimit, "none": NoLimit}


def make_limit(settings: AdmissionSettings, slots: int) -> Limit:
    """Return the limit that the settings name."""
    return POLICIES[settings.limit](settings, slots)
