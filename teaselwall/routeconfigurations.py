"""One version of the operators' configuration as they wrote it, entry by entry."""

import dataclasses

from teaselwall import routes


@dataclasses.dataclass(slots=True, frozen=True)
class RouteConfiguration:
    """The entries of one version, from which a ``routes.RouteTable`` is made.

    A table keeps one entry for each key or name; here all of them can be seen.

    Attributes
    ----------
    version : int
    routes : tuple of routes.Route
    pools : tuple of routes.Pool
    organisations : tuple of (routes.Organisation, tuple of str)
        Each organisation with its access keys.
    max_body_bytes : int
        Largest request body.
    """

    version: int
    routes: tuple
    pools: tuple
    organisations: tuple
    max_body_bytes: int

    def table(self):
        """Return the ``routes.RouteTable`` that serves requests."""
        organisations = {}
        for organisation, keys in self.organisations:
            organisations.update(dict.fromkeys(keys, organisation))
        return routes.RouteTable(
            version=self.version,
            routes=self.routes,
            pools=self.pools,
            organisations=organisations,
            max_body_bytes=self.max_body_bytes,
            requires_keys=bool(self.organisations),
        )
