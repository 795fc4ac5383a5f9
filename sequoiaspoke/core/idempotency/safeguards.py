"""The rules that keep a key from running twice, each one by name."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Safeguards:
    """Which rules apply; only tests leave one out, to see that it is needed."""

    window: bool = True
    lease_start: bool = True
    check_at_hand_over: bool = True
    witness_silence: bool = True
    fingerprint: bool = True
