"""Topics of the platform's store that keep their newest records for a while."""

import abc


class LogTopics(abc.ABC):
    """Client of such topics."""

    @abc.abstractmethod
    async def append(self, topic, records):
        """Append records, all or none.

        Parameters
        ----------
        topic : str
        records : list of (str, bytes)
            Key and value of each.

        Returns
        -------
        expression.Result
            After an error, the records may have been written.
        """

    @abc.abstractmethod
    async def retained(self, topic, offset):
        """Read the records from an offset on that the store still keeps.

        Parameters
        ----------
        topic : str
        offset : int

        Returns
        -------
        expression.Result
            ``keyedtopics.Page``, whose next offset is the end of the topic.
        """
