"""State that the components of the spread core share."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.membership.vmlist import VmView
from sequoiaspoke.core.snapshot.holder import SnapshotHolder

if TYPE_CHECKING:
    import random

    from sequoiaspoke.core.spread.events import Action
    from sequoiaspoke.settings.schema import Settings


@dataclass(frozen=True)
class Identity:
    """Identity of this process; the incarnation is new at every start."""

    name: str
    zone: str
    incarnation: int


class SpreadState:
    """Settings, holder, VM list, counters and pending actions of one node."""

    def __init__(
        self, settings: Settings, identity: Identity, rng: random.Random
    ) -> None:
        self.settings = settings
        self.spread = settings.spread
        self.identity = identity
        self.rng = rng
        self.holder = SnapshotHolder()
        self.vms = VmView(identity.name, identity.zone)
        self.counters: Counter[str] = Counter()
        self.actions: list[Action] = []
        self.no_vm_list = False  # the platform answered that it has none

    def emit(self, action: Action) -> None:
        """Add an action for the event loop to carry out."""
        self.actions.append(action)

    def count(self, name: str) -> None:
        """Count an event for the metrics."""
        self.counters[name] += 1

    def take_actions(self) -> list[Action]:
        """Return the actions added since the last time."""
        actions, self.actions = self.actions, []
        return actions
