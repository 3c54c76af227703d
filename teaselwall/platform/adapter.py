"""Adapter of the users' platform, a ``platforms.Platform``."""

from teaselwall import platforms
from teaselwall.platform import (
    documents,
    heads,
    registrations,
    reports,
    rolloutrecords,
    stagecalls,
    store,
)

# A key of the orders topic with this prefix takes out the data centre named after it.
EVACUATION_PREFIX = "evacuate/"


class UsersPlatform(platforms.Platform):
    """Adapter of the users' platform; see ``platforms.Platform``.

    Parameters
    ----------
    settings : generated.gateway.GatewaySettings
    """

    __slots__ = ("settings", "protocol")

    orders_topic = "keyed.op"
    servers_topic = "keyed.servers"
    members_topic = "keyed.teaselwall.members"
    quarantine_topic = "keyed.teaselwall.quarantine"
    rollouts_topic = "keyed.teaselwall.rollouts"
    status_topic = "keyed.status"
    origins_topic = "teaselwall.origins."
    table_key = "config"
    directory_path = "/v1/resolve"
    readiness_path = "/v1/readiness"

    def __init__(self, settings):
        self.settings = settings
        self.protocol = heads.UsersProtocol()

    def store(self, transport):
        """Return the client of the platform's store."""
        store_settings = self.settings.store
        return store.HttpStore(
            transport, store_settings.address, store_settings.timeout_ms
        )

    def stage_client(self, transport, on_notice):
        """Return the client of stage servers."""
        return stagecalls.HttpStageClient(transport, on_notice)

    async def read_start(self, transport, server):
        """Return the start of a process; see ``platforms.Platform.read_start``."""
        return await reports.read_start(transport, server.address)

    @staticmethod
    def decode_configuration(value):
        """Decode one; see ``platforms.Platform.decode_configuration``."""
        return documents.read(value)

    def decode_data_centre_out(self, key):
        """Return the data centre that a key of the orders topic takes out, or None."""
        if key.startswith(EVACUATION_PREFIX):
            return key.removeprefix(EVACUATION_PREFIX)
        return None

    def rollout_pool(self, key):
        """Return the pool of a roll-out's key; see ``platforms.Platform``."""
        return rolloutrecords.pool_of(key)

    def decode_rollout(self, pool, value):
        """Decode an order; see ``platforms.Platform.decode_rollout``."""
        return rolloutrecords.read(pool, value)

    def encode_rollout_status(self, plan):
        """Return a status record; see ``platforms.Platform``."""
        return rolloutrecords.status(plan)

    def decode_registration(self, key, value):
        """Decode a registration; see ``platforms.Platform.decode_registration``."""
        return registrations.read(key, value)

    def encode_address_answer(self, addresses, kept_s):
        """Return the answer; see ``platforms.Platform.encode_address_answer``."""
        return {"addresses": addresses, "ttlS": kept_s}
