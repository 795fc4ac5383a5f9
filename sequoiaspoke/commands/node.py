"""The `node` command: one node as its own process."""

from __future__ import annotations

import asyncio
import gc
import signal

from sequoiaspoke.node.app import Node
from sequoiaspoke.node.logs import configure_logs
from sequoiaspoke.settings.load import load_settings


def node(settings_file: str) -> int:
    """Run a node until SIGTERM or SIGINT; a stop cuts no call in flight.

    :param settings_file: the node's settings in INI.
    """
    settings = load_settings(settings_file)
    configure_logs(settings.log)
    asyncio.run(run(Node(settings)))
    return 0


async def run(process: Node) -> None:
    """Run a node until a signal asks it to stop."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await process.start()
    spare_the_collector()
    await stop_requested.wait()
    await process.stop()


def spare_the_collector() -> None:
    """Take what the start has made out of later garbage collections.

    A full collection goes through every object of the libraries, some 8 ms in
    which the loop stands still and every call through the node is late. None
    of those objects is ever freed, so none needs another look.
    """
    gc.collect()
    gc.freeze()
