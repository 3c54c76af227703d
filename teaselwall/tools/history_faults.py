"""Faults of the randomized histories; each is a task that acts on a running history.

Each function takes a ``histories.Run``.
"""

# About how long calls and faults go on; their random delays are fractions of it.
RUN_MS = 5000
RETENTION_MS = 10000
FREQUENT_SNAPSHOT_RETENTION_MS = 400


async def _kill(run):
    """Kill random hosts and start them again, one at a time."""
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        host = run._random_host()
        host.kill()
        await run.clock.sleep_ms(run.random.uniform(50, 1500))
        run.show_members()
        await run.clock.sleep_ms(run.random.uniform(0, 1000))
        run.start(host.address)


async def _pause(run):
    """Pause random hosts; with even odds, other hosts forget the paused one."""
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 2))
        host = run._random_host()
        host.gate.close()
        if run.random.random() < 0.5:
            await run.clock.sleep_ms(run.random.uniform(0, 500))
            for other in run.hosts.values():
                if other is not host:
                    other.membership.forget(host.address)
        await run.clock.sleep_ms(run.random.uniform(100, 3000))
        host.gate.opened.set()


async def _lose_appends(run):
    """Lose the replies to appends; some of these appends take effect late."""
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        run.log.delay_effect_ms = run.random.choice((0, 10, 500, 3000))
        run.log.n_lose_replies = run.random.randint(1, 3)


async def _fail_log(run):
    """Let the log refuse all calls for short times."""
    for _ in range(run.random.randint(1, 2)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 2))
        run.log.outage = True
        await run.clock.sleep_ms(run.random.uniform(10, 600))
        run.log.outage = False


async def _cut_links(run):
    """Lose the calls from one host to another, in this direction only."""
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        link = (run._random_host().address, run._random_host().address)
        run.network.cut.add(link)
        await run.clock.sleep_ms(run.random.uniform(50, 2000))
        run.network.cut.discard(link)


async def _diverge_views(run):
    """Remove single hosts from the membership view of one other host for a time."""
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        host, other = run._random_host(), run._random_host()
        if host is not other:
            host.membership.forget(other.address)
        await run.clock.sleep_ms(run.random.uniform(50, 2000))
        run.show_members()


async def _lose_peer_replies(run):
    """Lose the replies to calls between hosts that took effect."""
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        run.network.n_lose_replies = run.random.randint(1, 3)


async def _fail_service(run):
    """Let the plain service refuse calls and lose replies until the faults end."""
    run.refuse_share = run.random.uniform(0, 0.6)
    run.lost_reply_share = run.random.uniform(0, 0.5)


async def _retention(run):
    """Let the log drop old records, with a retention setting to match."""
    run.settings.retention_ms = RETENTION_MS
    run.log.retention_ms = RETENTION_MS


async def _rewrite_snapshots(run):
    """Shorten the retention setting, so that snapshots are written often."""
    run.settings.retention_ms = FREQUENT_SNAPSHOT_RETENTION_MS


FAULTS = {
    "kill": _kill,
    "pause": _pause,
    "lose_appends": _lose_appends,
    "outage": _fail_log,
    "cut": _cut_links,
    "diverge": _diverge_views,
    "lose_peer_replies": _lose_peer_replies,
    "fail_service": _fail_service,
    "retention": _retention,
    "rewrite": _rewrite_snapshots,
}
