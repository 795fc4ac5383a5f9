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
    from sequoiaspoke.core.mesh.model import CallerLimits, Route, Service

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
    services: dict[str, Service]
    limits: CallerLimits


def difference(old: MeshConfig | None, new: MeshConfig) -> ConfigDelta:
    """Return the way from an older version, or from nothing, to a newer one."""
    before = {route.name: route for route in old.routes} if old else {}
    after = {route.name for route in new.routes}
    return ConfigDelta(
        base=old.version if old else 0,
        version=new.version,
        routes=tuple(each for each in new.routes if is_changed(before, each)),
        removed=tuple(name for name in before if name not in after),
        services=new.services,
        limits=new.limits,
    )


def is_changed(before: dict[str, Route], route: Route) -> bool:
    """Return whether a route is new or changed; most are one object with the old."""
    known = before.get(route.name)
    return known is not route and known != route


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
        same = known is route or known == route
        routes.append(known if same else route)
    return replace(new, routes=tuple(routes))


class ConfigHistory:
    """The version in force and a few before it.

    Attributes
    ----------
    changed_routes : int
        Routes that are new or changed in it.
    """

    def __init__(self) -> None:
        self.versions: dict[int, MeshConfig] = {}
        self.newest: MeshConfig | None = None
        self.changed_routes = 0

    def install(self, config: MeshConfig) -> MeshConfig | None:
        """Take a whole version if it is newer; return what is now in force of it."""
        if not self.is_newer(config):
            return None
        shared = share_routes(self.newest, config)
        self.changed_routes = len(difference(self.newest, shared).routes)
        return self.keep(shared)

    def is_newer(self, config: MeshConfig) -> bool:
        """Return whether a version comes after all that were taken."""
        return self.newest is None or config.version > self.newest.version

    def keep(self, config: MeshConfig) -> MeshConfig:
        """Take a newer version that shares what it can with those before."""
        self.newest = self.versions[config.version] = config
        while len(self.versions) > KEPT_VERSIONS:
            del self.versions[min(self.versions)]
        return self.newest

    def delta_since(self, version: int) -> ConfigDelta | None:
        """Return the way from a version that another node has to the newest.

        None if there is nothing to tell; all of it if that version is not kept here.
        """
        if self.newest is None or version >= self.newest.version:
            return None
        return difference(self.versions.get(version), self.newest)

    def apply(self, delta: ConfigDelta) -> MeshConfig:
        """Take the newer version to which a delta leads; KeyError without its base."""
        routes: dict[str, Route] = {}
        if delta.base:
            base = self.versions[delta.base]
            routes = {route.name: route for route in base.routes}
        for name in delta.removed:
            routes.pop(name, None)
        routes.update((route.name, route) for route in delta.routes)
        config = MeshConfig(
            delta.version, tuple(routes.values()), delta.services, delta.limits
        )
        # A delta's routes are those that differ; the others are the base's own.
        self.changed_routes = len(delta.routes)
        return self.keep(config)
