"""Selects the coordinator of the stages of requests and submits them to it."""

import logging

import expression
import trio
import xxhash

from teaselwall import control, errors, events, submissions
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# How often a host with stage work checks that it is the coordinator, and for how long
# another host must have been before jobs are handed over.
HAND_OVER_CHECK_MS = 100.0
ROLE_LOSS_MS = 250.0
# Backlogs of other hosts are known with a delay of about a second. If a coordinator's
# backlog exceeds another coordinator's by more than SPILL_FROM_MS, a share of its
# requests goes to the other one. The share grows over SPILL_RANGE_MS to at most half,
# as all hosts would otherwise move their requests at once.
SPILL_FROM_MS = 150.0
SPILL_RANGE_MS = 1000.0
MAX_SPILL_SHARE = 0.5


class Coordination:
    """Sends the stages of requests to their coordinator.

    The coordinator of a group of data centres is the fastest entry host among
    their delegates. Of equally fast hosts, the one that has run longest is chosen, so
    that the coordinator changes only when that host stops or fails. Until a change of
    the membership has spread, hosts may use two coordinators for a group; batches are
    then less full, but nothing else is affected.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    gossip : datagrams.DatagramGossip
    peers : peers.Peers
    stage_work : stagework.StageWork
    data_centre_groups : datacentregroups.DataCentreGroups

    Attributes
    ----------
    coordinators : dict of frozenset of str to str
        Nonce of the coordinator last chosen for each group; a change is logged.
    nursery : trio.Nursery or None
        Sends releases; None before ``run``.
    """

    __slots__ = (
        "clock",
        "membership",
        "gossip",
        "peers",
        "stage_work",
        "data_centre_groups",
        "coordinators",
        "nursery",
    )

    def __init__(
        self, clock, membership, gossip, peers, stage_work, data_centre_groups
    ):
        self.clock = clock
        self.membership = membership
        self.gossip = gossip
        self.peers = peers
        self.stage_work = stage_work
        self.data_centre_groups = data_centre_groups
        self.coordinators = {}
        self.nursery = None

    def register(self, interface):
        """Register the handlers for messages of other entry hosts.

        Parameters
        ----------
        interface : control.Control
        """
        interface.add(submissions.RUN_PATH, self._handle_run, cancel_on_disconnect=True)
        self.gossip.on_release = lambda r: self.stage_work.release(r.request, r.run)

    async def run(self):
        """Send releases, and hand jobs over to a new coordinator, until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await self.stage_work.job_submitted.wait()
                self._give_up_unreachable()
                await self._hand_over()
                await self.clock.sleep_ms(HAND_OVER_CHECK_MS)

    def _give_up_unreachable(self):
        """Give up the jobs that need a pool of which this host reaches no server."""
        unreachable = self.stage_work.fleet.paths.unreachable
        if unreachable:
            self.stage_work.give_up(
                lambda job: any(
                    stage.pool in unreachable and not stage.done()
                    for stage in job.stages
                ),
                _unreachable_detail(unreachable),
            )

    async def _hand_over(self):
        """Give up the jobs that have not started if this host lost its role.

        Two coordinators of one group collide at its servers. Jobs that were submitted
        later come from hosts that don't know the other coordinator yet.
        """
        if self._is_coordinator():
            return
        lost_ms = self.clock.now_ms()
        await self.clock.sleep_ms(ROLE_LOSS_MS)
        if not self._is_coordinator():
            self.stage_work.give_up(
                lambda job: not job.started and job.submitted_ms < lost_ms,
                "Another entry host coordinates the stages now.",
            )

    def _is_coordinator(self):
        group = self.data_centre_groups.group_of(self.membership.me.data_centre)
        return self.coordinator(group) is self.membership.me

    def coordinator(self, group=frozenset()):
        """Return the coordinator of a group by the membership view of this host.

        Parameters
        ----------
        group : frozenset of str
            Data centres; an empty set stands for all of them. Where no host of the
            group may coordinate, the hosts of all data centres are candidates.
        """
        reachable = [
            member
            for member in self.membership.delegates()
            if not self.gossip.is_silent(member.address)
        ]
        # Hosts that start together are all not ready yet, and must agree as well.
        serving = [m for m in reachable if not m.draining] or reachable
        candidates = [m for m in serving if self._reaches_stages(m)] or serving
        in_group = [m for m in candidates if not group or m.data_centre in group]
        coordinator = min(
            in_group or candidates or [self.membership.me],
            key=lambda member: (-member.n_cores, member.nonce),
        )
        if coordinator.nonce != self.coordinators.get(group, ""):
            events.log(
                logger,
                logging.INFO,
                "coordinator",
                peer=coordinator.address,
                nonce=coordinator.nonce,
                group=group_name(group),
                n_candidates=len(candidates),
            )
            self.coordinators[group] = coordinator.nonce
        return coordinator

    def _reaches_stages(self, member):
        """Return whether a member reaches servers of every pool that runs stages."""
        stage_pools = self.data_centre_groups.stage_pools()
        return not any(pool in stage_pools for pool in member.unreachable)

    def coordinator_for(self, message):
        """Return the coordinator for the stages of a request.

        It is the coordinator of the group with the request's engine. A share of the
        requests goes to another group's coordinator if that has a much smaller backlog.
        """
        groups = self.data_centre_groups.groups()
        home_group = self.data_centre_groups.group_of(message.data_centre)
        coordinator = self.coordinator(home_group)
        if len(groups) == 1:
            return coordinator
        others = [self.coordinator(group) for group in groups if group != home_group]
        least_busy = min(others, key=lambda member: (member.backlog_ms, member.nonce))
        excess_ms = coordinator.backlog_ms - least_busy.backlog_ms - SPILL_FROM_MS
        share = min(MAX_SPILL_SHARE, excess_ms / SPILL_RANGE_MS)
        return least_busy if _request_fraction(message.request) < share else coordinator

    async def run_stages(self, message):
        """Have a coordinator run the stages of a request.

        Parameters
        ----------
        message : messages.StageJob

        Returns
        -------
        expression.Result
            ``(messages.StageResults, callable)``; the callable releases the results at
            the coordinator.
        """
        submission = submissions.Submission(self, message)
        result = await submission.run()
        return result.map(
            lambda results: (results, lambda: self.release(submission.winner, message))
        )

    async def submit_here(self, message):
        """Have this host run the stages of a request.

        Returns
        -------
        expression.Result
            ``messages.StageResults``.
        """
        unreachable = self.stage_work.fleet.paths.unreachable
        if any(stage.pool in unreachable for stage in message.stages):
            detail = _unreachable_detail(unreachable)
            outcome = errors.Outcome.NOT_RUN
            return expression.Error(errors.NotCoordinator(detail, outcome=outcome))
        result = await self.stage_work.submit(message)
        return result.map(_results)

    def release(self, coordinator, message):
        """Have a coordinator end a request's job and free its results."""
        if coordinator is self.membership.me:
            self.stage_work.release(message.request, message.run)
        elif self.nursery is not None:
            release = messages.StageRelease(request=message.request, run=message.run)
            self.nursery.start_soon(self.gossip.release, coordinator.address, release)

    async def _handle_run(self, message):
        result = await self.submit_here(control.read(message, messages.StageJob))
        if result.is_error():
            raise result.error
        return result.ok


def group_name(group):
    """Return the name of a group of data centres in logs and views."""
    return ",".join(sorted(group)) or "all"


def _unreachable_detail(pools):
    return f"This host reaches no server of {', '.join(sorted(pools))}."


def _results(job):
    """Return the results of a job, with the data centre that holds most bytes."""
    outputs = job.outputs()
    sizes = {}
    for piece in outputs:
        data_centre = piece.server.data_centre
        sizes[data_centre] = sizes.get(data_centre, 0) + piece.stage.n_bytes
    return messages.StageResults(
        handles=[piece.handle for piece in outputs],
        data_centre=max(sizes, key=sizes.get, default=""),
    )


def _request_fraction(request):
    """Return a number from 0 to 1 that is the same for a request on every host."""
    return xxhash.xxh32_intdigest(request.encode()) / (1 << 32)
