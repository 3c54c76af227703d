"""Entry host of the soak: ``python -m teaselwall.tools.soak_host``.

It runs the real program. Its outgoing connections go where a file says, so that the
soak can take away its paths to servers while other hosts keep theirs.
"""

import json
import os
import pathlib
import runpy

from teaselwall import sockets

# Variable with the path of a JSON object: the address to connect to for another one.
# Without the file, nothing is changed.
PATHS_VARIABLE = "TEASELWALL_SOAK_PATHS"


def redirect(path):
    """Have new connections go where a file says.

    Parameters
    ----------
    path : pathlib.Path
    """
    connect = sockets.connect

    async def connect_over_path(address):
        if path.exists():
            address = json.loads(path.read_text()).get(address, address)
        return await connect(address)

    sockets.connect = connect_over_path


if __name__ == "__main__":
    # Before the modules that keep a reference to the function are imported.
    redirect(pathlib.Path(os.environ[PATHS_VARIABLE]))
    runpy.run_module("teaselwall.platform", run_name="__main__", alter_sys=True)
