"""Learns from answers how long the servers of one pool take to begin an answer."""

# Start values, before any answer: ms of an answer without a prompt, ms for each prompt
# token that is not cached, and ms for each request in progress there.
START_MS = (30.0, 0.03, 1.8)
# The three values are learned in units in which each is of the same order.
SCALE = (1.0, 1000.0, 10.0)
START_DEVIATION_MS = 30.0
# Random change of each value between two answers.
CHANGE_MS = 0.3
# Single answers deviate from the expected time by about this share.
NOISE_SHARE = 0.5
MIN_NOISE_MS = 2.0
# An answer that took longer than this many times its expected time counts as this long.
MAX_DEVIATION = 3.0
# Answers of a server, or of its data centre, that outweigh what holds without them.
N_ANSWERS_TO_TRUST = 4
# Older answers of a server fade once there are this many.
N_ANSWERS_KEPT = 20
# Ratios kept; the one unused for longest goes first.
MAX_SERVERS = 5000
MIN_FACTOR = 0.1
MAX_FACTOR = 10.0
# Weight of the newest request in the mean time for which one takes up a place.
NEWEST_WEIGHT = 0.05
START_OCCUPANCY_MS = 500.0
START_N_TOKENS = 1000.0


class Ratio:
    """Mean ratio of the measured to the expected times of some answers."""

    __slots__ = ("mean", "n_answers")

    def __init__(self):
        self.mean = 1.0
        self.n_answers = 0

    def record(self, ratio):
        """Add one answer; the newest ``N_ANSWERS_KEPT`` count most."""
        self.n_answers = min(N_ANSWERS_KEPT, self.n_answers + 1)
        self.mean += (ratio - self.mean) / self.n_answers

    def blended(self, otherwise):
        """Return the mean, drawn to another value while there are few answers."""
        total = self.mean * self.n_answers + otherwise * N_ANSWERS_TO_TRUST
        return total / (self.n_answers + N_ANSWERS_TO_TRUST)


class PoolSpeeds:
    """Expected times of answers of one pool.

    The time until an answer begins is a sum of three parts, learned by a Kalman filter
    over all servers of the pool, times a factor of each server. A server without
    answers counts as fast as the others of its data centre.

    Attributes
    ----------
    parts_ms : list of float
        Time without a prompt, for ``SCALE[1]`` tokens and for ``SCALE[2]`` requests in
        progress.
    covariance : list of list of float
    by_server : dict of str to Ratio
        By incarnation.
    by_data_centre : dict of str to Ratio
    occupancy_ms : float
        Mean time for which a request takes up a place.
    n_tokens : float
        Mean number of prompt tokens that a request adds to what an engine holds.
    """

    __slots__ = (
        "parts_ms",
        "covariance",
        "by_server",
        "by_data_centre",
        "occupancy_ms",
        "n_tokens",
    )

    def __init__(self):
        self.parts_ms = [ms * s for ms, s in zip(START_MS, SCALE, strict=True)]
        variance = START_DEVIATION_MS**2
        self.covariance = [
            [variance if i == j else 0.0 for j in range(3)] for i in range(3)
        ]
        self.by_server = {}
        self.by_data_centre = {}
        self.occupancy_ms = START_OCCUPANCY_MS
        self.n_tokens = START_N_TOKENS

    @property
    def token_ms(self):
        """Time to read one prompt token on a server of usual speed, in ms."""
        return self.parts_ms[1] / SCALE[1]

    @property
    def place_ms(self):
        """Time that each request in progress adds on a server of usual speed, in ms."""
        return self.parts_ms[2] / SCALE[2]

    def factor(self, server):
        """Return how long a server usually takes, compared to the pool."""
        by_place = self.by_data_centre.get(server.data_centre)
        usual = by_place.blended(1.0) if by_place is not None else 1.0
        own = self.by_server.get(server.incarnation)
        return own.blended(usual) if own is not None else usual

    def answer_ms(self, n_tokens, load):
        """Return the time until an answer begins on a server of usual speed, in ms.

        Parameters
        ----------
        n_tokens : float
            Prompt tokens that are not cached.
        load : float
            Requests in progress there.
        """
        return self.parts_ms[0] + n_tokens * self.token_ms + load * self.place_ms

    def record_answer(self, server, n_tokens, load, elapsed_ms):
        """Learn from an answer that began without waiting for a place.

        Parameters
        ----------
        server : servers.Server
        n_tokens, load : float
            See ``answer_ms``.
        elapsed_ms : float
            Time until it began, over what the server's machine said of its slowness.
        """
        expected_ms = max(MIN_NOISE_MS, self.answer_ms(n_tokens, load))
        usual = self.factor(server)
        elapsed_ms = min(elapsed_ms, MAX_DEVIATION * expected_ms * usual)
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, elapsed_ms / expected_ms))
        self._learn_parts(n_tokens, load, elapsed_ms / usual)
        for ratios, key in (
            (self.by_server, server.incarnation),
            (self.by_data_centre, server.data_centre),
        ):
            known = ratios.pop(key, None) or Ratio()
            known.record(ratio)
            ratios[key] = known
        if len(self.by_server) > MAX_SERVERS:
            del self.by_server[next(iter(self.by_server))]

    def record_occupancy(self, elapsed_ms):
        """Record for how long a request took up its place."""
        self.occupancy_ms += NEWEST_WEIGHT * (elapsed_ms - self.occupancy_ms)

    def record_tokens(self, n_tokens):
        """Record how many tokens a request adds to what an engine holds."""
        self.n_tokens += NEWEST_WEIGHT * (n_tokens - self.n_tokens)

    def _learn_parts(self, n_tokens, load, elapsed_ms):
        """Correct the three parts by one answer, as a Kalman filter does."""
        inputs = (1.0, n_tokens / SCALE[1], load / SCALE[2])
        covariance = self.covariance
        for i in range(3):
            covariance[i][i] += CHANGE_MS**2
        spread = [sum(row[j] * inputs[j] for j in range(3)) for row in covariance]
        expected_ms = sum(p * x for p, x in zip(self.parts_ms, inputs, strict=True))
        noise_ms = max(MIN_NOISE_MS, NOISE_SHARE * expected_ms)
        total = sum(s * x for s, x in zip(spread, inputs, strict=True)) + noise_ms**2
        gains = [s / total for s in spread]
        error_ms = elapsed_ms - expected_ms
        for i in range(3):
            self.parts_ms[i] = max(0.0, self.parts_ms[i] + gains[i] * error_ms)
            for j in range(3):
                covariance[i][j] -= gains[i] * spread[j]
