"""Stand-in for the host list: ``python -m teaselwall.tools.hostlists``.

``POST /v1/hosts`` replaces the list; readers get the new list ``lag_ms`` later.
"""

import sys

import msgspec

from teaselwall import responses
from teaselwall.generated import messages
from teaselwall.tools import standins


class HostLists(standins.StandIn):
    """The host list that readers get, and newer lists that they do not get yet.

    Attributes
    ----------
    versions : list of (float, messages.HostList)
        Time of each change in milliseconds and the list, oldest first.
    """

    def __init__(self):
        super().__init__()
        self.versions = [(0.0, messages.HostList(hosts=[]))]

    async def handle(self, method, path, query, body, send):
        """Replace the list, or return it as it was ``lag_ms`` ago."""
        now_ms = self.clock.now_ms()
        if method == "POST":
            listing = msgspec.json.decode(body, type=messages.HostList)
            self.versions.append((now_ms, listing))
            await responses.send_json(send, {})
            return
        shown_ms = now_ms - self.faults.lag_ms
        while len(self.versions) > 1 and self.versions[1][0] <= shown_ms:
            del self.versions[0]
        await responses.send_json(send, self.versions[0][1])


def main():
    """Run the stand-in until SIGTERM."""
    arguments = standins.parser(__doc__).parse_args()
    standins.run(HostLists(), arguments.listen)


if __name__ == "__main__":
    sys.exit(main())
