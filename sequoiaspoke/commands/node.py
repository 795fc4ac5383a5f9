"""`sequoiaspoke node`: run one node as a process."""

from __future__ import annotations

import asyncio
import gc
import signal

from sequoiaspoke.node.app import Node
from sequoiaspoke.node.logs import configure_logs
from sequoiaspoke.settings.load import load_settings

# Signals that would otherwise end the process with its calls.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def node(settings_file: str) -> int:
    """Run a node until SIGTERM, SIGINT or SIGHUP; calls in flight finish first.

    :param settings_file: INI file with the node's settings
    """
    settings = load_settings(settings_file)
    configure_logs(settings.log)
    asyncio.run(run(Node(settings)))
    return 0


async def run(process: Node) -> None:
    """Run a node until it receives a stop signal."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    if not await process.start(stop_requested.is_set):
        return
    spare_the_collector()
    await stop_requested.wait()
    await process.stop()


def spare_the_collector() -> None:
    """Exclude the objects created at startup from later garbage collections.

    A full collection would traverse all objects of the libraries, which blocks the
    event loop and delays every call by about 8 ms. These objects are never freed, so
    there is no need to scan them again.
    """
    gc.collect()
    gc.freeze()
