"""Command that shows the roll-outs of software versions."""

from teaselwall import console, operatorcalls, rolloutviews
from teaselwall.generated import messages


class RolloutStatus(console.EntryCommand):
    """Show the roll-outs of a deployment on a platform."""

    name = "rollout status"
    description = "Show share, answers and reasons of the roll-outs on a platform."

    def execute_call(self, client):
        """Print the roll-outs, each as the host that leads it sees it."""
        result = client.call(rolloutviews.PATH, {})
        if result.is_error():
            return self.fail(result.error)
        listing = operatorcalls.as_struct(result.ok, messages.RolloutListing)
        leaders = sorted(
            {view.leader for view in listing.rollouts} - {"", listing.address}
        )
        by_leader = {}
        results = client.call_at(leaders, rolloutviews.PATH, {})
        for address, answer in zip(leaders, results, strict=True):
            if answer.is_ok():
                found = operatorcalls.as_struct(answer.ok, messages.RolloutListing)
                by_leader[address] = {view.pool: view for view in found.rollouts}
        listing.rollouts = [
            by_leader.get(view.leader, {}).get(view.pool, view)
            for view in listing.rollouts
        ]
        self.print_reply(listing, listing_lines(listing))
        return console.EXIT_OK


def listing_lines(listing):
    """Yield the lines that show a ``messages.RolloutListing``."""
    if not listing.rollouts:
        yield f"{listing.host}: no roll-out has been ordered."
    for view in listing.rollouts:
        yield from view_lines(view)


def view_lines(view):
    """Yield the lines that show a ``messages.RolloutView``."""
    servers = f"{view.n_servers} servers" if view.n_servers else "all servers"
    yield (
        f"{view.pool} to {view.target or 'no version'}: {view.state}, "
        f"step {view.step}, share {view.share:.3f} on {servers}, "
        f"{view.elapsed_ms / 1000:.1f} of {view.duration_ms / 1000:g} s"
    )
    yield f"  Led by {view.leader or 'no host yet'}: {view.reason or 'no plan yet'}"
    touch = "in touch" if view.in_touch else "out of touch, sends the target nothing"
    yield (
        f"  Orders {view.orders_age_ms} ms old, plans {view.plans_age_ms} ms old: "
        f"{touch}; {view.n_reporting} hosts have reported"
    )
    for row in view.rows:
        yield (
            f"  {row.software or 'no version'} {row.route or 'other routes'}: "
            f"{row.n_answers} answers, {row.n_bad} bad, half take over "
            f"{row.median_ms:g} ms, one of ten over {row.slow_ms:g} ms"
        )
    if view.evidence:
        facts = ", ".join(f"{name} {value}" for name, value in view.evidence.items())
        yield f"  The newest decision rests on: {facts}"
