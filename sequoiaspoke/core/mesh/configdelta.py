"""What differs between two versions of the configuration.

A configuration of 1,900 routes is some 140 KB, and most changes touch one route. A
node beside an upstream may have a link of 2.5 Mbit/s: the whole document would fill
it for half a second at each change, several times a second in a storm of them. So
nodes tell each other the difference.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.model import MeshConfig

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.model import CallerLimits, Route

# Versions kept as bases. Two readers that gather changes see different ones of a
# storm, and a node that has followed one must find the base of the other's news.
KEPT_VERSIONS = 8


@dataclass(frozen=True)
class ConfigDelta:
    """The way from one version to a newer one.

    Attributes
    ----------
    base : int
        The version that this changes; 0 if it is a whole configuration.
    routes : tuple of Route
        Those that are new or changed.
    removed : tuple of str
        Names of the routes that are gone.
    """

    base: int
    version: int
    routes: tuple[Route, ...]
    removed: tuple[str, ...]
    services: frozenset[str]
    limits: CallerLimits


def difference(old: MeshConfig | None, new: MeshConfig) -> ConfigDelta:
    """Return the way from an older version, or from nothing, to a newer one."""
    before = {route.name: route for route in old.routes} if old else {}
    after = {route.name for route in new.routes}
    return ConfigDelta(
        base=old.version if old else 0,
        version=new.version,
        routes=tuple(each for each in new.routes if before.get(each.name) != each),
        removed=tuple(name for name in before if name not in after),
        services=new.services,
        limits=new.limits,
    )


def share_routes(old: MeshConfig | None, new: MeshConfig) -> MeshConfig:
    """Return the newer version with the older one's objects for unchanged routes.

    Otherwise each kept version would hold all its routes once more: 0.7 KB each,
    1 MB for a version of 1,900 routes.
    """
    if old is None:
        return new
    before = {route.name: route for route in old.routes}
    routes = []
    for route in new.routes:
        known = before.get(route.name)
        routes.append(known if known is not None and known == route else route)
    return replace(new, routes=tuple(routes))


class ConfigHistory:
    """The version in force and a few before it."""

    def __init__(self) -> None:
        self.versions: dict[int, MeshConfig] = {}
        self.newest: MeshConfig | None = None

    def install(self, config: MeshConfig) -> MeshConfig | None:
        """Take a whole version if it is newer; return what is now in force of it."""
        if self.newest is not None and config.version <= self.newest.version:
            return None
        self.newest = share_routes(self.newest, config)
        self.versions[config.version] = self.newest
        while len(self.versions) > KEPT_VERSIONS:
            del self.versions[min(self.versions)]
        return self.newest

    def since(self, version: int) -> ConfigDelta | None:
        """Return the way from a version that another node has to the newest.

        None if there is nothing to tell; all of it if that version is not kept here.
        """
        if self.newest is None or version >= self.newest.version:
            return None
        return difference(self.versions.get(version), self.newest)

    def apply(self, delta: ConfigDelta) -> MeshConfig:
        """Return the version to which a delta leads; KeyError without its base."""
        routes: dict[str, Route] = {}
        if delta.base:
            base = self.versions[delta.base]
            routes = {route.name: route for route in base.routes}
        for name in delta.removed:
            routes.pop(name, None)
        routes.update((route.name, route) for route in delta.routes)
        return MeshConfig(
            delta.version, tuple(routes.values()), delta.services, delta.limits
        )
