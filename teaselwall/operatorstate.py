"""Operators' state on this host: configuration in force, data centres taken out."""

import logging

from teaselwall import events

logger = logging.getLogger(__name__)


class OperatorState:
    """Configuration and data centres taken out, as read from the orders topic.

    A listener of ``keyedtopics.TopicFollower``.

    Parameters
    ----------
    decode_table : callable
        ``decode_table(value)`` returns a result with a ``routes.RouteTable``.
    decode_data_centre : callable
        ``decode_data_centre(key)`` returns the data centre that a record with this key
        takes out of service, or None for any other key.
    table_key : str
        Key of the record that holds the configuration.

    Attributes
    ----------
    table : routes.RouteTable or None
        Configuration version in force; None until one has been read.
    data_centres_out : set of str
    servers_drained : frozenset
        Always empty: on this platform only whole data centres are taken out.
    version : int
        Incremented with each change, so that a reader can tell when to recompute
        values derived from this state.
    on_data_centre_return : callable or None
        Called as ``on_data_centre_return(data_centre)`` just before a data centre is
        taken back into service.
    on_table : callable or None
        Called as ``on_table(table, may_have_missed)`` once a configuration has come
        into force; the second argument tells whether others may have been in between.
    """

    __slots__ = (
        "decode_table",
        "decode_data_centre",
        "table_key",
        "table",
        "data_centres_out",
        "servers_drained",
        "version",
        "on_data_centre_return",
        "on_table",
    )

    def __init__(self, decode_table, decode_data_centre, table_key):
        self.decode_table = decode_table
        self.decode_data_centre = decode_data_centre
        self.table_key = table_key
        self.table = None
        self.data_centres_out = set()
        self.servers_drained = frozenset()
        self.version = 0
        self.on_data_centre_return = None
        self.on_table = None

    def pool(self, name):
        """Return a pool of the configuration in force, or None."""
        return self.table.pools.get(name) if self.table is not None else None

    def may_have_pool(self, name):
        """Return whether a pool is configured, true without a configuration."""
        return self.table is None or name in self.table.pools

    def stage_pools(self):
        """Return the names of the pools that run stages."""
        pools = self.table.pools.values() if self.table is not None else ()
        return [pool.name for pool in pools if pool.batches is not None]

    def record_recovery(self, outage):
        """Do nothing; orders do not expire while the store is unreachable."""

    def replace(self, records):
        """Replace the state by a full read of the topic.

        If the configuration is missing, unreadable or not newer, the version in force
        stays.

        Parameters
        ----------
        records : dict of str to bytes
        """
        if self.table_key in records:
            self._apply_table(records[self.table_key], may_have_missed=True)
        data_centres = map(self.decode_data_centre, records)
        taken_out = {data_centre for data_centre in data_centres if data_centre}
        for data_centre in self.data_centres_out - taken_out:
            self._take_back(data_centre)
        for data_centre in taken_out - self.data_centres_out:
            self._take_out(data_centre)

    def restore(self, records):
        """Take over a topic whose newest records may be lost.

        What is not in it stays in force: a newer configuration, and data centres that
        were taken out.

        Parameters
        ----------
        records : dict of str to bytes
        """
        if self.table_key in records:
            self._apply_table(records[self.table_key], may_have_missed=True)
        for data_centre in map(self.decode_data_centre, records):
            if data_centre:
                self._take_out(data_centre)

    def apply(self, record):
        """Apply one changed record.

        Parameters
        ----------
        record : keyedtopics.Record
        """
        if record.key == self.table_key:
            if record.value is not None:
                self._apply_table(record.value, may_have_missed=False)
            return
        data_centre = self.decode_data_centre(record.key)
        if not data_centre:
            return
        if record.value is None:
            self._take_back(data_centre)
        else:
            self._take_out(data_centre)

    def _apply_table(self, value, may_have_missed):
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
        if self.on_table is not None:
            self.on_table(new, may_have_missed)
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

    def _take_back(self, data_centre):
        if data_centre not in self.data_centres_out:
            return
        if self.on_data_centre_return is not None:
            self.on_data_centre_return(data_centre)
        self.data_centres_out.discard(data_centre)
        self.version += 1
        events.log(logger, logging.INFO, "data_centre_back", data_centre=data_centre)
