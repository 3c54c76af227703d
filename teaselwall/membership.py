"""Entry hosts that this host knows, itself among them."""

import secrets


class Member:
    """One entry host.

    Parameters
    ----------
    address : str
        Where peers reach it.
    callers : str
        Where callers reach it.
    data_centre : str
    nonce : str
        Tells two processes at one address apart.
    """

    __slots__ = ("address", "callers", "data_centre", "nonce", "draining", "n_requests")

    def __init__(self, address, callers, data_centre, nonce):
        self.address = address
        self.callers = callers
        self.data_centre = data_centre
        self.nonce = nonce
        self.draining = False
        self.n_requests = 0


class Membership:
    """The members as this host sees them.

    Parameters
    ----------
    settings : generated.settings.Settings
    """

    __slots__ = ("settings", "me", "members")

    def __init__(self, settings):
        self.settings = settings
        self.me = Member(
            settings.listen.peers,
            settings.listen.callers,
            settings.host.data_centre,
            secrets.token_hex(8),
        )
        self.members = {self.me.address: self.me}

    def alive(self):
        """Return the members believed alive, draining ones included."""
        return list(self.members.values())
