"""The load patterns that the decisions are measured under."""

from __future__ import annotations

from sequoiaspoke.core.rules.model import Priority
from sequoiaspoke.measure.loadmodel import Change, Scenario, TargetModel, Traffic

# Three targets of ten slots at 50 ms a call bear 600 calls a second.
CAPACITY = 600.0
ZONES = ("monza", "bergamo", "lecco")
ONE_EACH = tuple(TargetModel(zone) for zone in ZONES)

BURST = Scenario(
    "burst",
    (Traffic("steady", 300), Traffic("burst", 1800, start=4.0, end=5.0)),
)
HOT_CALLER = Scenario(
    "hot-caller",
    (Traffic("others", 120, callers=20), Traffic("hot", 1080, callers=1)),
)
HOT_KEY = Scenario(
    "hot-key",
    (
        Traffic("others", 120, callers=20),
        Traffic("hot", 1080, callers=50, key="ceremony"),
    ),
)
SLOW_UPSTREAM = Scenario(
    "slow-upstream",
    (Traffic("members", 300),),
    changes=(Change(3.0, 0, slower=10.0),),
)
LONG_AMONG_SHORT = Scenario(
    "long-among-short",
    (
        Traffic("portal", 240, seconds=0.02),
        Traffic(
            "archive",
            40,
            seconds=1.0,
            timeout=30.0,
            priority=Priority.PATIENT,
            attempts=1,
        ),
    ),
    duration=20.0,
    measured_from=5.0,
)
SATURATION_2 = Scenario("saturation-2x", (Traffic("members", 2 * CAPACITY),))
SATURATION_5 = Scenario(
    "saturation-5x", (Traffic("members", 5 * CAPACITY),), duration=10.0
)
RETRY_STORM = Scenario(
    "retry-storm",
    (Traffic("members", 400),),
    changes=tuple(
        Change(at, target, refuses=at == 4.0)
        for at in (4.0, 7.0)
        for target in (0, 1, 2)
    ),
)
COLD_FLEET = Scenario(
    "cold-fleet",
    (Traffic("members", 360),),
    changes=tuple(Change(0.0, target, cold=6.0) for target in (0, 1, 2)),
    measured_from=0.0,
)
COLD_TARGET = Scenario(
    "cold-target",
    (Traffic("members", 360),),
    changes=(Change(3.0, 0, dead=True), Change(5.0, 0, cold=6.0)),
)
MISLEADING_HEALTH = Scenario("misleading-health", (Traffic("members", 480),), lie=True)
CROWDED = Scenario(
    "crowded-target",
    (Traffic("members", 600),),
    targets=(TargetModel(), TargetModel(), TargetModel(bears=4, collapse=1.6)),
)
SHEDDING = Scenario(
    "shedding-target",
    (Traffic("members", 600),),
    targets=(TargetModel(), TargetModel(), TargetModel(bears=5, sheds_at=6)),
)
TARGET_GONE = Scenario(
    "target-gone",
    (Traffic("members", 300), Traffic("bookings", 30, idempotent=False)),
    changes=(Change(4.0, 0, dead=True),),
)
OLD_REPORTS = Scenario(
    "old-reports",
    (Traffic("members", 420), Traffic("swell", 120, start=8.0, end=14.0)),
    duration=24.0,
    report_lag=10.0,
)
ZONES_APART = Scenario(
    "one-zone-busy",
    (Traffic("members", 480),),
    targets=ONE_EACH,
    entry_zones=("monza",) * 4 + ("bergamo", "lecco"),
)
PRIORITIES = Scenario(
    "priorities",
    (
        Traffic("urgent", 200, priority=Priority.URGENT),
        Traffic("ordinary", 500),
        Traffic("patient", 60, priority=Priority.PATIENT, timeout=30.0),
    ),
    duration=20.0,
)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        BURST,
        HOT_CALLER,
        HOT_KEY,
        SLOW_UPSTREAM,
        LONG_AMONG_SHORT,
        SATURATION_2,
        SATURATION_5,
        RETRY_STORM,
        COLD_FLEET,
        COLD_TARGET,
        MISLEADING_HEALTH,
        CROWDED,
        SHEDDING,
        TARGET_GONE,
        OLD_REPORTS,
        ZONES_APART,
        PRIORITIES,
    )
}
