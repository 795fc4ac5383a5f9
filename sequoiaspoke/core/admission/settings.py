"""Settings of admission control, with the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class AdmissionSettings:
    """Settings of admission control."""

    limit: str = option(
        "adaptive",
        "How many calls run at once: adapted to the latency, the published slots, or "
        "no limit; the last two are baselines for comparison.",
        choices=("adaptive", "fixed", "none"),
    )
    queue: str = option(
        "fair",
        "Order of the waiting calls; fifo is a baseline for comparison.",
        choices=("fair", "fifo"),
    )
    queue_calls: int = option(
        64,
        "Maximum number of waiting calls of one priority; about six rounds of ten "
        "slots, more would only wait too long.",
        0,
        100000,
    )
    urgent_wait: float = option(
        0.15, "Seconds an urgent call waits before it is refused.", 0, 600
    )
    ordinary_wait: float = option(
        1.0, "Seconds an ordinary call waits before it is refused.", 0, 600
    )
    patient_wait: float = option(
        20.0, "Seconds a patient call waits before it is refused.", 0, 600
    )
    tolerance: float = option(
        1.5,
        "Latency at the limit, as a multiple of that at half of it, above which "
        "the limit falls; random variation alone moves the mean of ten calls by a "
        "third.",
        1.01,
        10,
    )
    decrease: float = option(
        0.9, "Factor by which the limit falls; a tenth is one slot of ten.", 0.1, 0.99
    )
    least_share: float = option(
        0.2, "Part of the published slots below which the limit never falls.", 0, 1
    )
    calibration_age: float = option(
        5.0,
        "Seconds for which a measured latency at half the limit is valid; only a new "
        "measurement tells a slower upstream from an overloaded one.",
        0.1,
        600,
    )
    shed_hold: float = option(
        1.0,
        "Seconds for which the limit stays below the level at which the upstream "
        "shed; at one try a second about a tenth of a per cent is shed.",
        0,
        60,
    )
    long_factor: float = option(
        5.0,
        "Duration, as a multiple of that of short calls, above which calls are long.",
        1.1,
        1000,
    )
    warm_up: float = option(
        3.0,
        "Seconds after its first answer for which the upstream is reported as cold.",
        0,
        600,
    )
    drain_memory: float = option(
        10.0,
        "Seconds for which a target is reported as leaving after its upstream refused "
        "a call because it is draining.",
        0,
        600,
    )
    long_memory: float = option(
        10.0, "Seconds after the last short call for which slots stay free.", 0, 600
    )
