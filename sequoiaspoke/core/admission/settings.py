"""Settings of the admission decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class AdmissionSettings:
    """Settings of the admission decisions."""

    limit: str = option(
        "adaptive",
        "How many calls run at once: learnt, the published slots, or no limit; the "
        "last two are baselines to compare with.",
        choices=("adaptive", "fixed", "none"),
    )
    queue: str = option(
        "fair",
        "In which order calls wait; fifo is the baseline to compare with.",
        choices=("fair", "fifo"),
    )
    queue_calls: int = option(
        64,
        "Calls of one priority that wait at most; about six rounds of ten slots, "
        "more only ages.",
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
        "the limit falls; chance alone moves the mean of ten calls by a third.",
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
        "Seconds for which a measured latency at half the limit holds; a slower "
        "upstream is told from a crowded one only by measuring anew.",
        0.1,
        600,
    )
    shed_hold: float = option(
        1.0,
        "Seconds for which the limit stays below the level at which the upstream "
        "shed; at one try a second some tenth of a per cent is shed.",
        0,
        60,
    )
    long_factor: float = option(
        5.0,
        "Duration, as a multiple of the short calls', from which calls are long.",
        1.1,
        1000,
    )
    warm_up: float = option(
        3.0,
        "Seconds after its first answer for which the upstream is called cold.",
        0,
        600,
    )
    drain_memory: float = option(
        10.0,
        "Seconds for which a target whose upstream refused as draining is called "
        "leaving.",
        0,
        600,
    )
    long_memory: float = option(
        10.0, "Seconds after the last short call for which slots are kept.", 0, 600
    )
