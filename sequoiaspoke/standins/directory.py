"""Publish a rendered directory, and again whenever its files change."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger as log

from sequoiaspoke.core.snapshot.publish import HEAD_DOCUMENT, PART_PREFIX
from sequoiaspoke.errors import ValueTooLargeError

if TYPE_CHECKING:
    from sequoiaspoke.standins.platform import PlatformStandin


class DocumentDirectory:
    """Files named like documents: `head`, `vms` and `parts/DIGEST`."""

    def __init__(self, path: str, platform: PlatformStandin) -> None:
        self.path = Path(path)
        self.platform = platform
        self.published: dict[str, bytes] = {}

    def poll(self) -> None:
        """Publish what changed since the last time, parts before the head."""
        found = self.read()
        changed = {
            name: data
            for name, data in found.items()
            if self.published.get(name) != data
        }
        if not changed:
            return
        try:
            self.platform.publish(changed)
        except ValueTooLargeError as error:
            log.error("publish-failed", code=error.code, reason=str(error))
        else:
            log.info("published", documents=len(changed))
        self.published = found

    def read(self) -> dict[str, bytes]:
        """Read every document; one that vanishes meanwhile is left out."""
        documents = {}
        for path in sorted(self.path.rglob("*"), key=self.order):
            try:
                documents[self.name(path)] = path.read_bytes()
            except (IsADirectoryError, FileNotFoundError):
                continue
        return documents

    def name(self, path: Path) -> str:
        """Return the name of a file's document."""
        return path.relative_to(self.path).as_posix()

    def order(self, path: Path) -> tuple[bool, bool, str]:
        """Sort parts first and the head last."""
        name = self.name(path)
        return name == HEAD_DOCUMENT, not name.startswith(PART_PREFIX), name
