"""The users' platform as a ``platforms.Platform``."""

from teaselwall import platforms
from teaselwall.platform import (
    documents,
    heads,
    registrations,
    stagecalls,
    store,
)

# Orders of the operators: the configuration, and data centres taken out.
EVACUATION_PREFIX = "evacuate/"


class UsersPlatform(platforms.Platform):
    """The users' platform.

    Parameters
    ----------
    settings : generated.gateway.GatewaySettings
    """

    __slots__ = ("settings", "protocol")

    orders_topic = "keyed.op"
    servers_topic = "keyed.servers"
    members_topic = "keyed.teaselwall.members"
    table_key = "config"
    directory_path = "/v1/resolve"
    readiness_path = "/v1/readiness"

    def __init__(self, settings):
        self.settings = settings
        self.protocol = heads.UsersProtocol()

    def store(self, transport):
        """Return the client of the platform's store."""
        wanted = self.settings.store
        return store.HttpStore(transport, wanted.address, wanted.timeout_ms)

    def stage_client(self, transport):
        """Return the client of stage servers."""
        return stagecalls.HttpStageClient(transport)

    def read_table(self, value):
        """Decode a configuration."""
        return documents.read(value)

    def data_centre_out(self, key):
        """Return the data centre that an order takes out, or None."""
        if key.startswith(EVACUATION_PREFIX):
            return key.removeprefix(EVACUATION_PREFIX)
        return None

    def read_registration(self, key, value):
        """Decode a server's entry."""
        return registrations.read(key, value)

    def address_answer(self, addresses, kept_s):
        """Return the directory's answer."""
        return {"addresses": addresses, "ttlS": kept_s}
