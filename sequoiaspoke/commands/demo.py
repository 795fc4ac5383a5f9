"""`sequoiaspoke demo`: a complete session on loopback."""

from __future__ import annotations

import asyncio

from sequoiaspoke.demo.session import Session
from sequoiaspoke.node.logs import configure_logs
from sequoiaspoke.settings.schema import LogSettings


def demo() -> int:
    """Run three zones in one process while rules change; exit with 1 on a lost call."""
    configure_logs(LogSettings(level="WARNING"))
    return 0 if asyncio.run(Session(print).run()) else 1
