"""Deltas between two versions of the configuration.

A configuration of 1,900 routes is about 140 KB, and most changes touch one route. On
a link of 2.5 Mbit/s the whole document takes half a second, and versions may follow
each other several times a second. So nodes send each other deltas.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.model import MeshConfig

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.model import CallerLimits, Route, Service

# Versions kept as bases of deltas. When versions follow each other quickly, two readers
# see different ones, and a node that followed one reader may need the base of a delta
# from the other.
KEPT_VERSIONS = 8


@dataclass(frozen=True)
class ConfigDelta:
    """The changes from one version to a newer one.

    Attributes
    ----------
    base : int
        Version that the delta applies to; 0 if it holds a whole configuration.
    routes : tuple of Route
        Routes that are new or changed.
    removed : tuple of str
        Names of the routes that were removed.
    """

    base: int
    version: int
    routes: tuple[Route, ...]
    removed: tuple[str, ...]
    services: dict[str, Service]
    limits: CallerLimits


def difference(old: MeshConfig | None, new: MeshConfig) -> ConfigDelta:
    """Return the delta from an older version, or from nothing, to a newer one."""
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
    """Return whether a route is new or changed; unchanged ones are mostly shared."""
    known = before.get(route.name)
    return known is not route and known != route


def share_routes(old: MeshConfig | None, new: MeshConfig) -> MeshConfig:
    """Return the newer version, sharing unchanged routes with the older one.

    Otherwise each kept version would hold a copy of every route: 0.7 KB each, or 1 MB
    for a version of 1,900 routes.
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
    """The newest version and a few before it.

    Attributes
    ----------
    changed_routes : int
        Number of routes that are new or changed in the newest version.
    """

    def __init__(self) -> None:
        self.versions: dict[int, MeshConfig] = {}
        self.newest: MeshConfig | None = None
        self.changed_routes = 0

    def install(self, config: MeshConfig) -> MeshConfig | None:
        """Install a version if it is newer; return it with shared routes, else None."""
        if not self.is_newer(config):
            return None
        shared = share_routes(self.newest, config)
        self.changed_routes = len(difference(self.newest, shared).routes)
        return self.keep(shared)

    def is_newer(self, config: MeshConfig) -> bool:
        """Return whether a version is newer than all installed ones."""
        return self.newest is None or config.version > self.newest.version

    def keep(self, config: MeshConfig) -> MeshConfig:
        """Store a newer version and drop the oldest beyond the limit."""
        self.newest = self.versions[config.version] = config
        while len(self.versions) > KEPT_VERSIONS:
            del self.versions[min(self.versions)]
        return self.newest

    def delta_since(self, version: int) -> ConfigDelta | None:
        """Return the delta from another node's version to the newest one.

        None if there is nothing newer. A whole configuration if that version is not
        kept here.
        """
        if self.newest is None or version >= self.newest.version:
            return None
        return difference(self.versions.get(version), self.newest)

    def apply(self, delta: ConfigDelta) -> MeshConfig:
        """Apply a delta and return the new version; KeyError if its base is missing."""
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
        # The delta lists only changed routes; all others are shared with the base.
        self.changed_routes = len(delta.routes)
        return self.keep(config)
