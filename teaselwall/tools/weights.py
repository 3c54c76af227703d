"""Stand-in for the weight store, which allows a limited number of loads a second."""

import sys

import msgspec

from teaselwall import errors, responses
from teaselwall.tools import standins

MS_PER_S = 1000


class Weights(standins.StandIn):
    """Refuses loads above its rate and counts them.

    Parameters
    ----------
    loads_per_s : float

    Attributes
    ----------
    interval_ms : float
        Shortest time between two loads.
    next_ms : float
        When the next load is allowed.
    n_refused : int
    loads : list of dict
        Loads allowed so far.
    """

    def __init__(self, loads_per_s):
        super().__init__()
        self.interval_ms = MS_PER_S / loads_per_s
        self.next_ms = 0.0
        self.n_refused = 0
        self.loads = []

    async def handle(self, method, path, query, body, send):
        """Accept a load; a GET returns the loads and the number of refusals.

        Raises
        ------
        errors.Overloaded
            When a load comes too soon after the last one.
        """
        if method == "GET":
            await responses.send_json(
                send, {"loads": self.loads, "n_refused": self.n_refused}
            )
            return
        now_ms = self.clock.now_ms()
        if now_ms < self.next_ms:
            self.n_refused += 1
            raise errors.Overloaded(
                "The weight store's limit of loads a second is reached."
            )
        self.next_ms = now_ms + self.interval_ms
        self.loads.append({"model": msgspec.json.decode(body)["model"]})
        await responses.send_json(send, {})


def main():
    """Run the stand-in until SIGTERM."""
    parser = standins.parser(__doc__)
    parser.add_argument("--loads-per-s", type=float, default=1.0)
    arguments = parser.parse_args()
    standins.run(Weights(arguments.loads_per_s), arguments.listen)


if __name__ == "__main__":
    sys.exit(main())
