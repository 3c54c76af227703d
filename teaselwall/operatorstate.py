"""What the operators have ordered: the configuration, data centres taken out."""

import logging

from teaselwall import events

logger = logging.getLogger(__name__)


class OperatorState:
    """The operators' orders in force on this host.

    Listens to a ``keyedtopics.TopicFollower``.

    Parameters
    ----------
    decode_table : callable
        ``decode_table(value)`` gives a result with a ``routes.RouteTable``.
    data_centre_of : callable
        ``data_centre_of(key)`` gives the data centre that a record takes out, or
        None.
    table_key : str
        Key of the configuration.

    Attributes
    ----------
    table : routes.RouteTable or None
    data_centres_out : set of str
    servers_drained : frozenset
        Always empty: these operators take out whole data centres only.
    version : int
        Counts changes, for whoever keeps something derived.
    on_return : callable or None
        ``on_return(data_centre)`` is told of a data centre that is taken back.
    """

    __slots__ = (
        "decode_table",
        "data_centre_of",
        "table_key",
        "table",
        "data_centres_out",
        "servers_drained",
        "version",
        "on_return",
    )

    def __init__(self, decode_table, data_centre_of, table_key):
        self.decode_table = decode_table
        self.data_centre_of = data_centre_of
        self.table_key = table_key
        self.table = None
        self.data_centres_out = set()
        self.servers_drained = frozenset()
        self.version = 0
        self.on_return = None

    def pool(self, name):
        """Return a pool of the configuration in force, or None."""
        return self.table.pools.get(name) if self.table is not None else None

    def stage_pools(self):
        """Return the names of the pools that run stages."""
        pools = self.table.pools.values() if self.table is not None else ()
        return [pool.name for pool in pools if pool.batches is not None]

    def regained(self, ago_ms):
        """Do nothing; orders do not lapse while the store is away."""

    def replace(self, records):
        """Take the whole topic."""
        if self.table_key in records:
            self._take_table(records[self.table_key])
        named = map(self.data_centre_of, records)
        wanted = {data_centre for data_centre in named if data_centre}
        for data_centre in self.data_centres_out - wanted:
            self._bring_back(data_centre)
        for data_centre in wanted - self.data_centres_out:
            self._take_out(data_centre)

    def apply(self, record):
        """Take one change."""
        if record.key == self.table_key:
            if record.value is not None:
                self._take_table(record.value)
            return
        data_centre = self.data_centre_of(record.key)
        if not data_centre:
            return
        if record.value is None:
            self._bring_back(data_centre)
        else:
            self._take_out(data_centre)

    def _take_table(self, value):
        result = self.decode_table(value)
        if result.is_error():
            events.log(
                logger,
                logging.ERROR,
                "configuration_unreadable",
                kept=self.table.version if self.table is not None else None,
                detail=str(result.error),
            )
            return
        new = result.ok
        if self.table is not None and new.version <= self.table.version:
            return
        self.table = new
        self.version += 1
        events.log(
            logger,
            logging.INFO,
            "configuration",
            version=new.version,
            n_hosts=len(new.by_host),
            n_keys=len(new.organisations),
        )

    def _take_out(self, data_centre):
        if data_centre not in self.data_centres_out:
            self.data_centres_out.add(data_centre)
            self.version += 1
            events.log(logger, logging.INFO, "data_centre_out", data_centre=data_centre)

    def _bring_back(self, data_centre):
        if data_centre not in self.data_centres_out:
            return
        if self.on_return is not None:
            self.on_return(data_centre)
        self.data_centres_out.discard(data_centre)
        self.version += 1
        events.log(logger, logging.INFO, "data_centre_back", data_centre=data_centre)
