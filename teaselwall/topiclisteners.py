"""Passes the records of one keyed topic to several listeners."""


class TopicListeners:
    """Listener of ``keyedtopics.TopicFollower`` that passes all on to others.

    Parameters
    ----------
    listeners : list of object
    """

    __slots__ = ("listeners",)

    def __init__(self, listeners):
        self.listeners = listeners

    def record_recovery(self, outage):
        """Pass on that the store has recovered."""
        for listener in self.listeners:
            listener.record_recovery(outage)

    def replace(self, records):
        """Pass on a full read of the topic."""
        for listener in self.listeners:
            listener.replace(records)

    def restore(self, records):
        """Pass on a topic whose newest records may be lost."""
        for listener in self.listeners:
            listener.restore(records)

    def apply(self, record):
        """Pass on one changed record."""
        for listener in self.listeners:
            listener.apply(record)
