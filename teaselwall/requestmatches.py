"""What the configuration in force says of a caller's request."""

from teaselwall import calls, clock, errors

# The causes of most refusals end sooner than this. Within a second, the directory
# lists another host.
RETRY_AFTER_MS = 300.0
# A configuration this old may lack a route or key that a request names. Covers two
# reads that the store holds open and their network time.
STALE_CONFIGURATION_MS = 3200.0
# Inputs of all pieces of one request, each some 40 bytes of a call.
MAX_INPUTS = 100_000


class UnknownKey(errors.Error):
    """The request has no access key or an unknown one."""

    status = 401
    title = "Unknown key"
    remedy = "Send a current key as 'Authorization: Bearer KEY'."


class Matcher:
    """Matches requests to routes and access keys.

    Parameters
    ----------
    entry : entry.Entry
        Components of this entry host.
    """

    __slots__ = ("entry",)

    def __init__(self, entry):
        self.entry = entry

    def call(self, head, body, started_ms):
        """Return the ``calls.Call`` for a request under the configuration in force.

        Parameters
        ----------
        head : protocols.RequestHead
        body : bytes
        started_ms : float
            Time on the clock at which the head had arrived.

        Raises
        ------
        errors.NotFound, errors.Unavailable, UnknownKey
            See ``find``; the pool may be missing as well.
        """
        entry = self.entry
        route, organisation = self.find(head)
        table = entry.operator_state.table
        pool = table.pools.get(route.pool())
        if pool is None:
            raise unavailable(
                f"The configuration lacks the pool of route {route.name}."
            )
        left_ms = allowed_ms(head, route) - (entry.clock.now_ms() - started_ms)
        return calls.Call(
            head=head,
            body=body,
            route=route,
            pool=pool,
            organisation=organisation,
            priority=table.priority(route, organisation),
            deadline=clock.Deadline(entry.clock, left_ms),
            due_ms=started_ms + route.target_ms,
            span=entry.tracer.start(f"request {route.name}"),
        )

    def find(self, head):
        """Return the route of a request and the organisation of its access key.

        Parameters
        ----------
        head : protocols.RequestHead

        Returns
        -------
        tuple of (routes.Route, routes.Organisation or None)

        Raises
        ------
        errors.NotFound
            No route matches and the configuration is recent.
        errors.Unavailable
            The configuration is missing here, or it or the keys may be out of date.
        UnknownKey
        errors.InvalidRequest
            See ``check_inputs``.
        """
        entry = self.entry
        if not entry.has_orders():
            raise unavailable("This entry host has not read a configuration yet.")
        table = entry.operator_state.table
        is_stale = entry.configuration_age_ms() > STALE_CONFIGURATION_MS
        route = table.find(head.host, head.path)
        if route is None:
            if is_stale:
                raise unavailable("This host's configuration may be out of date.")
            raise errors.NotFound("No route matches the request's host and path.")
        organisation = None
        if table.requires_keys and not route.public:
            organisation = self._authenticate(table, head, is_stale)
        check_inputs(route, head.n_pieces)
        return route, organisation

    def _authenticate(self, table, head, is_stale):
        """Return the organisation that a request's access key belongs to.

        While this host can't tell whether a key has been revoked, it accepts no key.

        Raises
        ------
        errors.Unavailable
            The keys known here are too old to accept or to refuse the request's key.
        UnknownKey
        """
        if not self.entry.keys_current():
            raise unavailable(
                "This host can't check access keys: its copy of them is too old."
            )
        organisation = table.organisations.get(head.access_key)
        if organisation is None:
            if is_stale:
                raise unavailable("This host's access keys may be out of date.")
            raise UnknownKey("The access key is not known.")
        return organisation


def check_inputs(route, n_pieces):
    """Check that the pieces of a request do not have too many inputs.

    Each piece of a stage is sent with the results of all pieces that it is made from.

    Parameters
    ----------
    route : routes.Route
    n_pieces : tuple of int
        Of each stage; missing ones have none.

    Raises
    ------
    errors.InvalidRequest
        They have more than ``MAX_INPUTS`` together.
    """
    counts = calls.counts_by_stage(route, n_pieces)
    if not any(counts):
        return
    n_inputs = sum(
        count * sum(counts[number] for number in stage.after)
        for stage, count in zip(route.stages, counts, strict=True)
    )
    if n_inputs > MAX_INPUTS:
        detail = f"The pieces have {n_inputs} inputs, over {MAX_INPUTS}."
        raise errors.InvalidRequest(detail, remedy="Send fewer pieces.")


def allowed_ms(head, route):
    """Return the time that a request may take under its route and its caller."""
    if head.caller_timeout_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, head.caller_timeout_ms)


def unavailable(detail):
    """Return the error of a request that another host may serve."""
    return errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS)
