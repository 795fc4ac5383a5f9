"""Settings of the membership decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class MembershipSettings:
    """When a node doubts its own view."""

    pause: float = option(
        2.0,
        "Seconds the clock may jump before the view is verified with peers; half a "
        "second and more happens on a busy VM and is harmless.",
        0.1,
        60,
    )
    verify_peers: int = option(
        2, "Peers that must confirm the view after a pause.", 0, 16
    )
    verify_wait: float = option(
        2.0,
        "Seconds after which a node that reaches nobody serves its view again; a "
        "zone that is cut off must go on serving.",
        0,
        60,
    )
    verify_cap: float = option(
        10.0, "Seconds after which it serves though a newer version is known.", 0, 300
    )
