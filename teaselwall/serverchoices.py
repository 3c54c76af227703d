"""Which back end a gateway sends a request to."""

import math

from teaselwall import calls, enginechoices


class ServerChoices:
    """Chooses among the servers that may get a request.

    Parameters
    ----------
    fleet : fleet.Fleet
    picker : pickers.Picker
        For plain services.
    engines : enginechoices.EngineChoices
    cold_starts : coldstarts.ColdStarts
    region_of : dict of str to str
        Region of each data centre.
    n_hosts : callable
        Gives the number of entry hosts.
    """

    __slots__ = ("fleet", "picker", "engines", "cold_starts", "region_of", "n_hosts")

    def __init__(self, fleet, picker, engines, cold_starts, region_of, n_hosts):
        self.fleet = fleet
        self.picker = picker
        self.engines = engines
        self.cold_starts = cold_starts
        self.region_of = region_of
        self.n_hosts = n_hosts

    def choices(self, call):
        """Return the servers that may get a request."""
        token = None
        if call.pool.engine:
            token = enginechoices.token_of(call.head.parts)
        found = self.fleet.choices(call.pool.name, token)
        regions = call.regions()
        if regions:
            found = [s for s in found if self.region_of.get(s.data_centre) in regions]
        limit = self._connection_share(call.pool)
        return [server for server in found if server.in_flight < limit]

    def choose(self, call, inputs):
        """Return a server, or None where none may get the request.

        Servers that were not tried go first.
        """
        open_now = self.choices(call)
        fresh = [s for s in open_now if s.address not in call.tried] or open_now
        if call.pool.engine:
            near = inputs.data_centre if inputs is not None else ""
            n_bytes = n_input_bytes(call) if inputs is not None else 0
            return self.engines.choose(call.head.parts, fresh, near, n_bytes)
        return self.picker.pick(fresh, frozenset())

    def record_sent(self, call, server):
        """Count a request; call it with no await after ``choose``."""
        self.cold_starts.record_sent(server)
        if call.pool.engine:
            self.engines.record_sent(server, call.head.parts)

    def home_data_centre(self, call):
        """Return where the engine stands that the request probably goes to."""
        home = self.engines.home(call.head.parts, self.choices(call))
        return home.data_centre if home is not None else ""

    def _connection_share(self, pool):
        """Return how many connections to one server this host may have."""
        if not pool.max_connections:
            return math.inf
        return max(1, pool.max_connections // max(1, self.n_hosts()))


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
