"""The platform's VM list, which may lag, and the order of a zone's nodes."""

from __future__ import annotations

import hashlib
import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import Vm, VmList, VmState
from sequoiaspoke.core.spread.messages import VmsAnswer
from sequoiaspoke.errors import DocumentError

if TYPE_CHECKING:
    from collections.abc import Iterable

# Lists kept to send a peer only the changes since the list that it holds.
HISTORY_LIMIT = 8
MAX_LIST_BYTES = 8_000_000  # after decompression


def rank_key(*words: str) -> bytes:
    """Return the sort key of a name in a rendezvous hashing order."""
    return hashlib.blake2b("|".join(words).encode(), digest_size=8).digest()


class VmView:
    """Holds the newest VM list and the order of the zone's nodes."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.revision = 0
        self.vms: dict[str, Vm] = {}
        self.history: OrderedDict[int, dict[str, Vm]] = OrderedDict()
        self.zone_order: list[str] = [name]

    def offer(self, vms: VmList) -> bool:
        """Install a list if it is newer than the one held; return whether it was."""
        if vms.revision <= self.revision:
            return False
        self.revision = vms.revision
        # The lists in the history share the objects of unchanged VMs.
        held = self.vms
        self.vms = {
            vm.name: held[vm.name] if held.get(vm.name) == vm else vm
            for vm in sorted(vms.vms, key=lambda vm: vm.name)
        }
        self.history[self.revision] = self.vms
        while len(self.history) > HISTORY_LIMIT:
            self.history.popitem(last=False)
        self.zone_order = self._zone_order()
        return True

    def _zone_order(self) -> list[str]:
        # The list may lag: this node may be missing, or shown as leaving under the
        # name with which it was restarted. It is included in any case.
        names = {
            vm.name
            for vm in self.vms.values()
            if vm.zone == self.zone and vm.state is VmState.LIVE
        }
        names.add(self.name)
        return sorted(names, key=lambda name: rank_key(self.zone, name))

    def rank(self) -> int:
        """Return this node's position in the watch order of its zone."""
        return self.zone_order.index(self.name)

    def predecessors(self) -> list[str]:
        """Return the nodes before this one in the watch order, nearest first."""
        return self.zone_order[: self.rank()][::-1]

    def others(self, own_zone: bool) -> list[Vm]:
        """Return the other VMs of the own zone, or those of all other zones."""
        return [
            vm
            for vm in self.vms.values()
            if vm.name != self.name and (vm.zone == self.zone) is own_zone
        ]

    def answer(self, revision: int) -> VmsAnswer:
        """Return the changes since a peer's revision, or the whole list."""
        base = self.history.get(revision)
        if base is None:
            return VmsAnswer(self.revision, 0, _pack(self.vms.values()))
        changed = [vm for name, vm in self.vms.items() if base.get(name) != vm]
        removed = tuple(name for name in base if name not in self.vms)
        return VmsAnswer(self.revision, revision, _pack(changed), removed)

    def apply(self, answer: VmsAnswer) -> bool:
        """Apply a peer's answer if it is newer and based on the list held.

        Raises
        ------
        DocumentError
            The answer cannot be decoded.
        """
        if answer.revision <= self.revision:
            return False
        if answer.base not in (0, self.revision):
            return False
        vms = dict(self.vms) if answer.base else {}
        for name in answer.removed:
            vms.pop(name, None)
        changed = _unpack(answer.packed)
        codec.check_vms(VmList(answer.revision, changed))
        vms.update({vm.name: vm for vm in changed})
        return self.offer(VmList(answer.revision, tuple(vms.values())))


def _pack(vms: Iterable[Vm]) -> bytes:
    return zlib.compress(codec.encode_json(tuple(vms)), 6)


def _unpack(packed: bytes) -> tuple[Vm, ...]:
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(packed, MAX_LIST_BYTES)
    except zlib.error as error:
        raise DocumentError(f"cannot decompress VM list: {error}") from error
    if not inflater.eof:
        raise DocumentError("VM list is truncated or too large")
    return codec.decode_json(content, tuple[Vm, ...])
