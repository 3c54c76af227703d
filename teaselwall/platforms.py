"""What an entry host needs of the platform that it runs on."""

import abc


class Platform(abc.ABC):
    """One platform's names and messages.

    Attributes
    ----------
    protocol : protocols.Protocol
    orders_topic, servers_topic, members_topic : str
        Topics of the store: the operators' orders, the servers' registrations and
        the entry hosts' own addresses.
    table_key : str
        Key of the configuration among the orders.
    directory_path, readiness_path : str
    """

    __slots__ = ()

    @abc.abstractmethod
    def store(self, transport):
        """Return the ``keyedtopics.Store``."""

    @abc.abstractmethod
    def stage_client(self, transport):
        """Return the ``stagecalls.StageClient``."""

    @abc.abstractmethod
    def read_table(self, value):
        """Return a result with the ``routes.RouteTable`` of a record."""

    @abc.abstractmethod
    def data_centre_out(self, key):
        """Return the data centre that an order takes out, or None."""

    @abc.abstractmethod
    def read_registration(self, key, value):
        """Return a result with the ``serverregistry.Registration`` of a record."""

    @abc.abstractmethod
    def address_answer(self, addresses, kept_s):
        """Return the directory's answer as a JSON-encodable object."""
