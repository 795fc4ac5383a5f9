"""What nodes understand beyond the first protocol of the links between them.

Nodes of two builds run side by side during a rolling update, so each tells its features
in the handshake, and newer messages are only sent to nodes that understand them.
"""

from __future__ import annotations

from enum import IntFlag


class LinkFeatures(IntFlag):
    """Features of a node, as the bits that it sends in the handshake."""

    # Bodies in parts, a bound on the wait of a call, and withdrawn calls.
    PARTS = 1
    # Comes back, as a last resort, to a home that refuses calls as it stops.
    LAST_RESORT = 2


SUPPORTED = LinkFeatures.PARTS | LinkFeatures.LAST_RESORT
