"""Settings of the idempotency decisions, with the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class IdempotencySettings:
    """Settings of the idempotency decisions."""

    window: float = option(
        3.0,
        "Seconds that a witness's answer counts, from when it was asked for: two "
        "lost rounds close the window, and a moved key is refused for about as long.",
        0.1,
        60,
    )
    ask_every: float = option(
        1.4,
        "Seconds between rounds of questions to the witnesses; two rounds fit the "
        "window, and the messages stay well under 3 KB a second.",
        0.02,
        20,
    )
    clock_margin: float = option(
        0.5,
        "Seconds by which the clocks of any two machines may differ; synchronised "
        "clocks differ by milliseconds.",
        0.0,
        10,
    )
    witnesses: int = option(
        7, "VMs of the zone that confirm the homes of a service.", 1, 31
    )
    quorum: int = option(
        5,
        "Witnesses that must answer; two quorums of 5 of 7 still share a witness "
        "when two members differ.",
        1,
        31,
    )
    departed: float = option(
        30.0,
        "Seconds for which the previous witnesses are still asked after a change of "
        "the VM list; longer than the list takes to reach every node.",
        0,
        3600,
    )
    retention: float = option(
        300.0,
        "Seconds for which a finished key is remembered; older keys are not run.",
        5,
        86400,
    )
    opaque_lifetime: float = option(
        60.0,
        "Seconds for which a caller may retry a key that has no minted time.",
        1,
        3600,
    )
    entries: int = option(
        20000,
        "Keys in the ledger: 60 new keys a second for the retention.",
        1,
        1000000,
    )
    refusals: int = option(
        2000,
        "Refused keys remembered individually: a few seconds of load shedding.",
        1,
        100000,
    )
    answer_bytes: int = option(
        65536, "Bytes of an answer that is kept for retries.", 0, 1 << 24
    )
    kept_bytes: int = option(
        8 << 20, "Bytes of all kept answers; an eighth of the memory.", 0, 1 << 30
    )
    body_bytes: int = option(
        1 << 20, "Bytes of a keyed call's body, which is buffered whole.", 0, 1 << 26
    )
    patience: float = option(
        30.0,
        "Seconds the home waits for its upstream after the caller's deadline, so "
        "that a retry gets the answer.",
        0,
        3600,
    )
    linger: float = option(
        3.0,
        "Seconds after its last keyed answer for which a draining node, within its "
        "grace, still answers retries: time for a caller to notice and retry.",
        0,
        3600,
    )
    key_length: int = option(200, "Characters of a key.", 40, 1000)
