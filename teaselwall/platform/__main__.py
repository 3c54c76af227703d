"""Entry point of an entry host on the platform."""

import os
import signal
import sys

from teaselwall import earlysignals

SETTINGS_VARIABLE = "TEASELWALL_NODE_FILE"
SETTINGS_PATH = "/etc/teaselwall/node.conf"


def main():
    """Run an entry host with the settings file that the platform provides."""
    earlysignals.record(signal.SIGHUP, signal.SIGTERM)
    # Not loaded before, as this takes most of the start.
    from teaselwall import entrydaemon
    from teaselwall.platform import adapter

    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return entrydaemon.main(path, adapter.UsersPlatform)


if __name__ == "__main__":
    sys.exit(main())
