"""Chooses the back end server that a request is sent to."""

import functools
import math

from teaselwall import calls, enginechoices, requestlimits, timedchoices


class ServerChoices:
    """Chooses among the servers that may get a request.

    Parameters
    ----------
    fleet : fleet.Fleet
    picker : pickers.ExpectedTimePicker
        Chooses among the servers of plain services.
    engines : enginechoices.EngineChoices
        Knows which engines probably have a prompt cached and chooses among engines.
    cold_starts : coldstarts.ColdStarts
        Counts the requests to cold servers.
    region_of : dict of str to str
        Region of each data centre.
    n_hosts : callable
        Returns the number of entry hosts.
    metrics : metrics.Metrics

    Attributes
    ----------
    timed : timedchoices.TimedChoices
        Chooses among the servers of all pools that say how slow they are now.
    rollouts : rollouts.Rollouts or None
        Shares the requests of pools in roll-out among the versions of their servers.
    newest_work : tuple of (calls.Call or None, timedchoices.Work or None)
        The request for which a server was last chosen by expected time, and its work.
    """

    __slots__ = (
        "fleet",
        "picker",
        "engines",
        "timed",
        "cold_starts",
        "region_of",
        "n_hosts",
        "rollouts",
        "newest_work",
    )

    def __init__(
        self, fleet, picker, engines, cold_starts, region_of, n_hosts, metrics
    ):
        self.fleet = fleet
        self.picker = picker
        self.engines = engines
        self.timed = timedchoices.TimedChoices(
            fleet.clock, picker.data_centre, n_hosts, metrics
        )
        self.cold_starts = cold_starts
        self.region_of = region_of
        self.n_hosts = n_hosts
        self.rollouts = None
        self.newest_work = (None, None)

    def choices(self, call):
        """Return the servers that may get a request now."""
        for accepts in self._sides(call):
            found = self._choices(call, accepts)
            if found:
                return found
        return []

    def _sides(self, call):
        """Return which servers may get a request, as ``rollouts.Rollouts.sides``."""
        if call.software is not None:
            return (functools.partial(_has_software, call.software),)
        if self.rollouts is None:
            return (None,)
        return self.rollouts.sides(call.pool.name, call.head.id, call.n_sent > 0)

    def _choices(self, call, accepts):
        subset_token = None
        if call.pool.engine:
            subset_token = enginechoices.subset_token_of(call.head.prompt_parts)
        servers = self.fleet.choices(
            call.pool.name, subset_token, accepts, urgency_of(call)
        )
        regions = call.regions()
        if regions:
            servers = [
                s for s in servers if self.region_of.get(s.data_centre) in regions
            ]
        limit = self._connection_share(call.pool)
        return [server for server in servers if server.in_flight < limit]

    def choose(self, call, inputs):
        """Return a server for a request, or None if none may get it.

        Servers without an earlier attempt of the request are preferred.

        Parameters
        ----------
        call : calls.Call
        inputs : messages.StageResults or None
            Results of the request's stages.
        """
        available = self.choices(call)
        untried = [s for s in available if s.address not in call.tried] or available
        if any(server.slowness.is_stated for server in untried):
            work = self._work(call, inputs, untried)
            self.newest_work = (call, work)
            return self.timed.choose(call.pool, untried, work)
        if call.pool.engine:
            input_data_centre = inputs.data_centre if inputs is not None else ""
            n_bytes = n_input_bytes(call) if inputs is not None else 0
            return self.engines.choose(
                call.head.prompt_parts, untried, input_data_centre, n_bytes
            )
        return self.picker.pick(untried, frozenset())

    async def obtain(self, call, inputs, n_waiting=0):
        """Return a server that a request may be sent to now, or None.

        A server with a limit is chosen again once the request may be sent there, as it
        may have become unavailable meanwhile.

        Parameters
        ----------
        call, inputs
            See ``choose``.
        n_waiting : int
            Requests like it that wait for a server of their pool here, itself included;
            0 if it doesn't wait.
        """
        urgency = urgency_of(call)
        while (server := self.choose(call, inputs)) is not None:
            is_allowed = await self.fleet.limits.obtain(server, urgency, n_waiting)
            if not is_allowed or not self.fleet.is_available(server):
                continue
            sides = self._sides(call)
            if any(accepts is None or accepts(server) for accepts in sides):
                return server
        return None

    def has_untried(self, call):
        """Return whether a server without an earlier attempt may get the request."""
        return any(s.address not in call.tried for s in self.choices(call))

    def record_sent(self, call, server):
        """Record a request to a server; call it with no await after ``choose``.

        Returns
        -------
        timedchoices.Sent
        """
        self.cold_starts.record_sent(server)
        chosen_call, work = self.newest_work
        if chosen_call is not call:
            work = timedchoices.Work()
            if call.pool.engine and server.slowness.is_stated:
                work = self._work(call, None, self.choices(call))
        self.newest_work = (None, None)
        sent = self.timed.record_sent(call.pool, server, work)
        if call.pool.engine:
            self.engines.record_sent(server, call.head.prompt_parts)
        return sent

    def record_answer(self, call, sent, received):
        """Learn from a whole answer.

        Parameters
        ----------
        call : calls.Call
        sent : timedchoices.Sent
        received : progress.AttemptProgress
        """
        first_ms = received.first_ms or received.received_ms
        self.timed.record_answer(call.pool, sent, first_ms, received.received_ms)

    def _work(self, call, inputs, servers):
        """Return what a request asks of some servers, as ``timedchoices.Work``."""
        if not call.pool.engine:
            return timedchoices.Work()
        work = self.engines.work(call.head.prompt_parts, servers)
        if inputs is not None:
            work.data_centre = inputs.data_centre
            work.n_bytes = n_input_bytes(call)
        return work

    def home_data_centre(self, call):
        """Return the data centre of the engine that the request probably goes to."""
        engine = self.engines.home_engine(call.head.prompt_parts, self.choices(call))
        return engine.data_centre if engine is not None else ""

    def _connection_share(self, pool):
        """Return how many connections to one server this host may open."""
        if not pool.max_connections:
            return math.inf
        return max(1, pool.max_connections // max(1, self.n_hosts()))


def _has_software(software, server):
    return server.software == software


def urgency_of(call):
    """Return how urgent a request is, the most urgent lowest.

    A stream that its caller has a part of goes first.
    """
    return requestlimits.BEGUN_URGENCY if call.splitter.last_id else call.priority


def n_input_bytes(call):
    """Return the size of the stage results that the request's engine fetches."""
    stages = call.route.stages
    used = {source for stage in stages for source in stage.after}
    counts = calls.piece_counts(call)
    return sum(
        counts[number] * stage.n_bytes
        for number, stage in enumerate(stages)
        if number not in used
    )
