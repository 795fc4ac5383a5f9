"""Many orders at once, and a platform that kills a process above memoryMb."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab import Lab, Target, main, route, status_of, watch_memory

PLACES = [
    *[("akaki", "fleet")] * 4,
    *[("bole", "fleet")] * 3,
    *[("kality", "fleet")] * 3,
    ("akaki", "booking"),
    ("bole", "booking"),
    ("kality", "booking"),
]
ENTRIES = 10
MEMORY_MB = 150
# Resident memory in MiB at which a process is killed here: a third more than it may
# have, so that no way of counting decides.
KILLED_ABOVE_MB = 200
BODY = 4 << 20
WORK_SECONDS = 1.0
# Orders of each entry in a round, and seconds in which they are sent at once.
ORDERS, ROUNDS, BURST_SECONDS, ROUND_SECONDS = 9, 5, 1.0, 7
# Ends of processes on a machine, and machines with so many, from which the day fails.
MAX_ENDS, MACHINES = 3, 2


class OrderTarget(Target):
    """A target whose orders take a while."""

    async def work(self, message, writer):
        """Run an order and answer it."""
        await asyncio.sleep(WORK_SECONDS)
        await super().work(message, writer)


class OrderLab(Lab):
    """A deployment of such targets."""

    target_class = OrderTarget


async def play(folder, trouble):
    """Return whether the rule was broken."""
    lab = OrderLab(folder, MEMORY_MB)
    routes = [route("order", "booking", "unsafe", timeoutS=5, targetLatencyS=2)]
    ends, statuses, peaks = Counter(), Counter(), []
    body, lost = b"o" * BODY, 0

    async def one(node):
        nonlocal lost
        call_id, answer = await lab.call(node, "order", body, "POST", 6000)
        statuses[status_of(answer)] += 1
        lost += status_of(answer) != 200 and call_id in lab.runs

    async def burst(node):
        tasks = []
        for _ in range(ORDERS):
            tasks.append(asyncio.ensure_future(one(node)))
            await asyncio.sleep(BURST_SECONDS / ORDERS)
        await asyncio.gather(*tasks)

    async def in_turn(node):
        for _ in range(ORDERS):
            await one(node)

    try:
        await lab.start(PLACES, routes, ["fleet", "booking"])
        await asyncio.sleep(3)
        watching = asyncio.ensure_future(watch_memory(lab, KILLED_ABOVE_MB, ends))
        for _ in range(ROUNDS):
            play_round = burst if trouble else in_turn
            rounds = [play_round(node) for node in lab.nodes[:ENTRIES]]
            await asyncio.gather(*rounds, asyncio.sleep(ROUND_SECONDS))
        watching.cancel()
        peaks = [round(node.peak_mb()) for node in lab.nodes if node.alive]
    finally:
        await lab.stop()
    print("orders by status:", dict(statuses), "run and not served:", lost)
    print("processes over their memory, by node:", dict(ends))
    print("peaks of the processes that live, MiB:", peaks)
    many = [number for number, count in ends.items() if count >= MAX_ENDS]
    return len(many) >= MACHINES


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
