"""Cuts of the soak between entry hosts and servers, and what callers see of them."""

import contextlib
import json
import os
import socket
import time

from teaselwall.tools import deployments, soak_losses

HOWS = ("refuse", "hang", "reset")
# By the users' rule, from this time after the start of a cut on, first attempts at the
# hosts without a path are served two thirds as often as the others, or at most so many,
# and a share of all, fail there.
CONTACT_S = 3.0
MIN_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
# Connections that fill the queue of a listener that accepts none.
N_FILLING = 8


class Cuts:
    """Takes away paths of entry hosts.

    Parameters
    ----------
    folder : pathlib.Path
        For the files that tell the hosts where to connect.

    Attributes
    ----------
    spans : list of (set of str, float, float)
        Names of the hosts that reached no server, from when until when.
    active : list of (set of str, dict of str to str)
        Cuts in force: names of hosts, and addresses that lead elsewhere.
    out_of_touch : soak_losses.Disturbances
        Times in which hosts had no sound way to the store.
    refusing, hanging : str
        Addresses that refuse connections, and that answer nothing.
    """

    def __init__(self, folder):
        self.folder = folder
        self.spans = []
        self.active = []
        self.out_of_touch = soak_losses.Disturbances()
        self.refusing = deployments.free_address()
        self.sockets = []
        self.hanging = self._listen_without_accepting()

    def _listen_without_accepting(self):
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.sockets.append(listener)
        for _ in range(N_FILLING):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(listener.getsockname())
            self.sockets.append(filling)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def close(self):
        """Close the sockets."""
        for held in self.sockets:
            held.close()

    def path_of(self, host_name):
        """Return the file that tells a host where to connect."""
        return self.folder / f"{host_name}-paths.json"

    @contextlib.contextmanager
    def during(self, hosts, servers, how, is_whole):
        """Take the paths from some hosts to some servers away for the block.

        Parameters
        ----------
        hosts : list of soak_fleet.EntryHost
        servers : list of soak_fleet.Server
        how : str
            One of ``HOWS``. Open connections live on but for ``reset``.
        is_whole : bool
            Whether these are all servers.
        """
        led_to = self.hanging if how == "hang" else self.refusing
        paths = {server.proxy.address: led_to for server in servers}
        from_s = time.monotonic()
        names = {host.name for host in hosts}
        cut = (names, paths)
        self.active.append(cut)
        self._write(names)
        try:
            yield
        finally:
            self.active.remove(cut)
            self._write(names)
            if is_whole:
                self.spans.append((names, from_s, time.monotonic()))

    def _write(self, names):
        """Tell some hosts where to connect."""
        for name in names:
            paths = {}
            for cut_names, cut_paths in self.active:
                paths |= cut_paths if name in cut_names else {}
            part = self.folder / f"{name}-paths.part"
            part.write_text(json.dumps(paths))
            os.replace(part, self.path_of(name))


def find_violations(requests, cuts, disturbances):
    """Return a line for each cut in which callers of the cut hosts fared far worse.

    Parameters
    ----------
    requests : list of soak_checks.Request
    cuts : Cuts
    disturbances : soak_losses.Disturbances
    """
    violations = []
    for hosts, from_s, until_s in cuts.spans:
        counted = [
            request
            for request in requests
            if from_s + CONTACT_S <= request.sent_s < until_s
            and request.origin is None
            and request.ended_s
            and not request.crashes
            and not any(
                spans.touch(request.host, request.sent_s - CONTACT_S, request.ended_s)
                for spans in (disturbances, cuts.out_of_touch)
            )
        ]
        there = [r.served for r in counted if r.host in hosts]
        others = [r.served for r in counted if r.host not in hosts]
        n_failed = len(there) - sum(there)
        if not there or not others:
            continue
        is_worse = sum(there) / len(there) < MIN_RATIO * sum(others) / len(others)
        if is_worse and n_failed > MAX_FAILED + MAX_FAILED_SHARE * len(counted):
            violations.append(
                f"hosts {sorted(hosts)} without a path for {until_s - from_s:.1f} s "
                f"served {sum(there)} of {len(there)}, "
                f"the others {sum(others)} of {len(others)}"
            )
    return violations
