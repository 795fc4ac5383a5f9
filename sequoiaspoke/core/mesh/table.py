"""Find the route of a call.

Among the routes of a host, the longest matching prefix decides. Every prefix ends with
a slash, so the candidates are the parts of the path up to each slash. Looking them up
from the longest on gives the same result as a scan of the ordered routes, at a cost
that does not grow with their number (some 700).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiaspoke.core.mesh.model import MeshConfig, Route


class RouteTable:
    """Routes of one version of the configuration, by host and prefix.

    Attributes
    ----------
    has_large_bodies : bool
        Whether there is a route with large bodies. The wait at a home can then change
        faster than load reports reach the entries.
    """

    def __init__(self, config: MeshConfig) -> None:
        self.config = config
        self.routes = {(route.host, route.prefix): route for route in config.routes}
        self.has_large_bodies = any(route.large_bodies for route in config.routes)

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a call, or None.

        Parameters
        ----------
        host : str
            Host header, with or without a port.
        target : str
            Request target: path and query.
        """
        for _, route in self.candidates(host, target):
            if route is not None:
                return route
        return None

    def candidates(self, host: str, target: str) -> Iterator[tuple[str, Route | None]]:
        """Yield the prefixes of a path with their routes, the longest first."""
        name = host.partition(":")[0].lower()
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            prefix = path[: end + 1]
            yield prefix, self.routes.get((name, prefix))
            end = path.rfind("/", 0, end)
