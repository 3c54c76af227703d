"""Runs a module with few descriptors: ``python -m teaselwall.tools.limited N MODULE``.

Further arguments are those of the module.
"""

import resource
import runpy
import sys

if __name__ == "__main__":
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (int(sys.argv[1]), hard_limit))
    module = sys.argv[2]
    sys.argv[:] = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
