"""Settings of membership, with the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class MembershipSettings:
    """When a node verifies its view of the configuration and the VMs."""

    pause: float = option(
        2.0,
        "Seconds the clock may jump before the view is verified with peers; jumps of "
        "half a second and more occur on a busy VM and are harmless.",
        0.1,
        60,
    )
    verify_peers: int = option(
        2, "Peers that must confirm the view after a pause.", 0, 16
    )
    verify_wait: float = option(
        2.0,
        "Seconds after which a node that reaches no peer serves its view again; a "
        "zone that is cut off must continue to serve.",
        0,
        60,
    )
    verify_cap: float = option(
        10.0, "Seconds after which it serves even if a newer version is known.", 0, 300
    )
