"""Switches for the rules that keep a key from running twice."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Safeguards:
    """Rules that apply; tests turn one off to show that it is needed.

    Attributes
    ----------
    window : bool
        New keys run only while a quorum of witnesses confirms the home.
    lease_start : bool
        Keys minted before the lease began, or too long ago, are refused.
    check_at_hand_over : bool
        The lease is checked again before a call goes to the upstream.
    witness_silence : bool
        A restarted witness does not answer for two windows.
    fingerprint : bool
        A key used for a different request is refused.
    """

    window: bool = True
    lease_start: bool = True
    check_at_hand_over: bool = True
    witness_silence: bool = True
    fingerprint: bool = True
