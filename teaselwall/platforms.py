"""Interface to the platform that an entry host runs on."""

import abc


class Platform(abc.ABC):
    """Adapter of one platform: its topics, keys, paths and message formats.

    Attributes
    ----------
    protocol : protocols.Protocol
    orders_topic, servers_topic, members_topic, quarantine_topic : str
        Topics of the store with the operators' orders, the registrations of backend
        servers, the addresses of entry hosts and the suspects that they refuse.
    rollouts_topic, status_topic : str
        Topics with the entry hosts' plans of roll-outs and with what the operators
        read of them.
    origins_topic : str
        Beginning of the names of the topics with the origins of streams; the region
        follows.
    table_key : str
        Key of the configuration in the orders topic.
    directory_path, readiness_path : str
        HTTP paths of the address directory and of the readiness check.
    """

    __slots__ = ()

    @abc.abstractmethod
    def store(self, transport):
        """Return the ``keyedtopics.Store``."""

    @abc.abstractmethod
    def stage_client(self, transport, on_notice):
        """Return the ``stagecalls.StageClient``.

        Parameters
        ----------
        transport : httpcalls.HttpCalls
        on_notice : callable
            ``on_notice(server, notice, sent_ms)`` takes a ``protocols.Notice`` and the
            time on the clock at which the call was sent.
        """

    @abc.abstractmethod
    async def read_start(self, transport, server):
        """Return when the process that now serves at a server's address started.

        Parameters
        ----------
        transport : httpcalls.HttpCalls
        server : servers.Server

        Returns
        -------
        int or None
            On the server's own clock, as in its incarnation; None if it is not known.
        """

    @staticmethod
    @abc.abstractmethod
    def decode_configuration(value):
        """Return a result with the entries of a configuration record.

        Returns
        -------
        expression.Result
            ``routeconfigurations.RouteConfiguration``.
        """

    def decode_table(self, value):
        """Return a result with the ``routes.RouteTable`` of a configuration record."""
        return self.decode_configuration(value).map(
            lambda configuration: configuration.table()
        )

    @abc.abstractmethod
    def decode_data_centre_out(self, key):
        """Return the data centre that a key of the orders topic takes out, or None."""

    @abc.abstractmethod
    def rollout_pool(self, key):
        """Return the pool that a key of the orders topic orders a roll-out of, or None.

        Parameters
        ----------
        key : str
        """

    @abc.abstractmethod
    def decode_rollout(self, pool, value):
        """Return a result with the ``rolloutorders.Order`` of a record.

        A duration that is no positive number is 0.
        """

    @abc.abstractmethod
    def encode_rollout_status(self, plan):
        """Return the key and the value that tell operators how a roll-out stands.

        Parameters
        ----------
        plan : messages.RolloutPlan

        Returns
        -------
        tuple of (str, bytes)
        """

    @abc.abstractmethod
    def decode_registration(self, key, value):
        """Return a result with the ``serverregistry.Registration`` of a record."""

    @abc.abstractmethod
    def encode_address_answer(self, addresses, kept_s):
        """Return the address directory's answer as a JSON-encodable object.

        Parameters
        ----------
        addresses : list of str
        kept_s : float
            How long callers may keep the answer.
        """
