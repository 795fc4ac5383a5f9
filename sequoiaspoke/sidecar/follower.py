"""Follow the platform's store, through whatever befalls it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar.source import HistoryLostError, StoreError

if TYPE_CHECKING:
    from random import Random

    from sequoiaspoke.sidecar.source import ItemStore
    from sequoiaspoke.sidecar.state import MeshState

# Seconds between attempts while the store fails, doubling up to the second; drawn at
# random below it, so that nodes which lost it together do not return together.
RETRY_FIRST, RETRY_MOST = 0.05, 0.5
# Seconds after news before the next is asked for: in a storm of changes, several a
# second, one read then brings several, and it is short against the two seconds in
# which a version or a drain has to be acted on.
GATHER_SECONDS = 0.35


class Follower:
    """Keeps the state of a node up to date with the store."""

    def __init__(self, store: ItemStore, state: MeshState, rng: Random) -> None:
        self.store = store
        self.state = state
        self.rng = rng
        self.listed = False
        self.pause = RETRY_FIRST

    async def run(self) -> None:
        """Read everything once and then the changes, for ever."""
        while True:
            try:
                await self.step()
                self.pause = RETRY_FIRST
            except HistoryLostError as error:
                self.state.log.event("store-history-lost", reason=str(error))
                self.listed = False
            except StoreError as error:
                await self.failed(error.code, str(error))
            except Exception as error:
                # An answer that nobody foresaw. A follower that ended here would leave
                # this node on what it knows now for good.
                await self.failed("unexpected", repr(error))

    async def failed(self, code: str, reason: str) -> None:
        """Note a failure and wait before the next read."""
        self.state.store_failed(code, reason)
        self.listed = self.listed and code != "unexpected"
        await asyncio.sleep(self.pause * self.rng.uniform(0.5, 1.0))
        self.pause = min(2 * self.pause, RETRY_MOST)

    async def step(self) -> None:
        """Read once."""
        if not self.listed:
            self.state.take_all(await self.store.read_all())
            self.listed = True
            return
        changes = await self.store.wait_for_changes(self.state.revision)
        self.state.take_changes(changes)
        if changes.items:
            await asyncio.sleep(GATHER_SECONDS)
