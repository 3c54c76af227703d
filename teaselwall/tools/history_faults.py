"""Faults of the histories; each acts on a ``histories.Run`` while it lasts."""

RUN_MS = 5000
RETENTION_MS = 10000
REWRITE_MS = 400


async def _kill(run):
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        host = run._host()
        host.kill()
        await run.clock.sleep_ms(run.random.uniform(50, 1500))
        run.show_members()
        await run.clock.sleep_ms(run.random.uniform(0, 1000))
        run.start(host.address)


async def _pause(run):
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 2))
        host = run._host()
        host.gate.close()
        if run.random.random() < 0.5:
            await run.clock.sleep_ms(run.random.uniform(0, 500))
            for other in run.hosts.values():
                if other is not host:
                    other.membership.forget(host.address)
        await run.clock.sleep_ms(run.random.uniform(100, 3000))
        host.gate.opened.set()


async def _lose_appends(run):
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        run.log.delay_effect_ms = run.random.choice((0, 10, 500, 3000))
        run.log.n_lose_replies = run.random.randint(1, 3)


async def _outage(run):
    for _ in range(run.random.randint(1, 2)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 2))
        run.log.outage = True
        await run.clock.sleep_ms(run.random.uniform(10, 600))
        run.log.outage = False


async def _cut(run):
    for _ in range(run.random.randint(1, 3)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        link = (run._host().address, run._host().address)
        run.network.cut.add(link)
        await run.clock.sleep_ms(run.random.uniform(50, 2000))
        run.network.cut.discard(link)


async def _diverge(run):
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        host, other = run._host(), run._host()
        if host is not other:
            host.membership.forget(other.address)
        await run.clock.sleep_ms(run.random.uniform(50, 2000))
        run.show_members()


async def _lose_peer_replies(run):
    for _ in range(run.random.randint(1, 4)):
        await run.clock.sleep_ms(run.random.uniform(0, RUN_MS / 3))
        run.network.n_lose_replies = run.random.randint(1, 3)


async def _fail_service(run):
    run.refuse_share = run.random.uniform(0, 0.6)
    run.lose_share = run.random.uniform(0, 0.5)


async def _retention(run):
    run.settings.retention_ms = RETENTION_MS
    run.log.retention_ms = RETENTION_MS


async def _rewrite(run):
    run.settings.retention_ms = REWRITE_MS


FAULTS = {
    "kill": _kill,
    "pause": _pause,
    "lose_appends": _lose_appends,
    "outage": _outage,
    "cut": _cut,
    "diverge": _diverge,
    "lose_peer_replies": _lose_peer_replies,
    "fail_service": _fail_service,
    "retention": _retention,
    "rewrite": _rewrite,
}
