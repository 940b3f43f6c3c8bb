"""Coordination between hosts: gossip, rollouts, shares of limits and checkpoints.

A duty is a task that one host performs for all hosts of its data centre.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs

from waxwingbarrow.core import Clock, HostId, Incarnation, Instant, ServiceName
from waxwingbarrow.daemon._admission import Admissions
from waxwingbarrow.daemon._control import Configuration, ControlPlane
from waxwingbarrow.daemon._fleet import Fleet
from waxwingbarrow.daemon._gossip import Gossip, GossipListeners
from waxwingbarrow.daemon._rollouts import Rollouts
from waxwingbarrow.daemon._settings import Settings
from waxwingbarrow.membership import (
    GossipMap,
    Liveness,
    MemberStatus,
    assign,
)
from waxwingbarrow.peers import PeerNode
from waxwingbarrow.rollout import Withdrawals
from waxwingbarrow.routing import CrashSuspects, CrashSuspicion
from waxwingbarrow.state import VerdictBody

GOSSIP_DISPATCH_INTERVAL_S = 0.1
SHARE_UPDATE_INTERVAL_S = 1.0
# After the start, the roster needs this time to learn all members. Until then, a
# process that it does not list is not taken for one that has ended.
ROSTER_SETTLE_MS = 10_000


@attrs.frozen(kw_only=True)
class CoordinationContext:
    """Parts of the host whose state is exchanged with other hosts."""

    settings: Settings
    clock: Clock
    started: Instant
    incarnation: Incarnation
    control: ControlPlane
    peers: PeerNode
    gossip_map: GossipMap
    gossip: Gossip
    fleet: Fleet
    rollouts: Rollouts
    crash_suspects: CrashSuspects
    admissions: Admissions


class Coordination:
    """Exchanges state with other hosts and performs the duties of this host."""

    def __init__(self, context: CoordinationContext) -> None:
        self._context = context
        self._gossip_cursor = 0
        self._recording_tasks: dict[ServiceName, asyncio.Task[None]] = {}

    def list_coroutines(self) -> dict[str, Coroutine[Any, Any, None]]:
        """Return the coroutines to run in the background, by task name."""
        return {
            "dispatch": self._run_gossip_dispatch(),
            "rollouts": self._run_rollouts(),
            "shares": self._run_shares(),
            "checkpoints": self._run_checkpoints(),
        }

    def has_ended(self, host_id: HostId, incarnation: Incarnation) -> bool:
        """Return whether a process has ended, as far as this host can tell."""
        if (host_id, incarnation) == (
            self._context.settings.host_id,
            self._context.incarnation,
        ):
            return False
        now = self._context.clock.now()
        for view in self._context.peers.roster.list_members(now):
            if view.member.host_id == host_id:
                is_same = view.member.incarnation == incarnation
                has_left = view.member.status is MemberStatus.LEFT
                return not is_same or has_left or view.liveness is Liveness.DEAD
        return now.mono_ms - self._context.started.mono_ms > ROSTER_SETTLE_MS

    async def _run_gossip_dispatch(self) -> None:
        """Pass items that arrived by gossip to the parts that use them."""
        listeners = GossipListeners(
            on_evidence=self._context.rollouts.learn_evidence,
            on_withdrawals=self._learn_withdrawals,
            on_leaving=self._context.fleet.learn_leaving,
            on_crashes=self._learn_crashes,
        )
        while True:
            await asyncio.sleep(GOSSIP_DISPATCH_INTERVAL_S)
            changes = self._context.gossip_map.changes_since(self._gossip_cursor)
            self._gossip_cursor = changes.cursor
            own = self._context.settings.host_id
            items = [item for item in changes.items if item.origin != own]
            self._context.gossip.dispatch(items, listeners)

    async def _run_rollouts(self) -> None:
        """Evaluate rollouts and gossip evidence; record verdicts as a duty."""
        context = self._context
        evidence_due_ms = 0
        try:
            while True:
                await asyncio.sleep(context.settings.rollout_interval_ms / 1000)
                now = context.clock.now()
                if now.mono_ms >= evidence_due_ms:
                    interval_ms = context.settings.evidence_interval_ms
                    evidence_due_ms = now.mono_ms + interval_ms
                    for evidence in context.rollouts.list_own_evidence():
                        context.gossip.put_evidence(evidence, now)
                for configuration in tuple(context.control.configurations.values()):
                    self._evaluate_rollout(configuration, now)
        finally:
            for task in self._recording_tasks.values():
                task.cancel()

    def _evaluate_rollout(self, configuration: Configuration, now: Instant) -> None:
        context = self._context
        agreed = context.control.find_agreed_verdict(configuration)
        before = context.rollouts.withdrawals
        due = context.rollouts.evaluate(configuration, agreed, now)
        if context.rollouts.withdrawals != before:
            context.gossip.put_withdrawals(context.rollouts.withdrawals, now)
        if due is not None and self._has_duty(f"verdict/{due.service}", now):
            self._start_recording_verdict(due)

    def _start_recording_verdict(self, due: VerdictBody) -> None:
        """Record a verdict in a task of its own, at most one for each service.

        During a long outage of the log, waiting for the record here would delay the
        withdrawals of other services.
        """
        known = self._recording_tasks.get(due.service)
        if known is None or known.done():
            work = self._context.control.record_verdict(due)
            self._recording_tasks[due.service] = asyncio.create_task(work)

    async def _run_shares(self) -> None:
        """Gossip demand and recompute this host's shares of the accounts' limits."""
        while True:
            now = self._context.clock.now()
            self._context.gossip.put_demand(
                self._context.admissions.list_demand(now), now
            )
            self.update_shares()
            await asyncio.sleep(SHARE_UPDATE_INTERVAL_S)

    def update_shares(self) -> None:
        """Recompute this host's shares, at intervals and after each control change."""
        now = self._context.clock.now()
        views = self._context.peers.roster.list_members(now)
        own = self._context.settings.host_id
        live_peers = {
            view.member.host_id: now
            for view in views
            if view.member.host_id != own and view.liveness is not Liveness.DEAD
        }
        self._context.admissions.update_shares(
            self._context.control.configurations,
            self._context.gossip.list_demand(live_peers),
            live_peers,
            max(1, len(views)),
            now,
        )

    async def _run_checkpoints(self) -> None:
        """Write checkpoints while this host has that duty.

        An empty log is checked more often: offset 0 is reserved, and a checkpoint there
        lets the first publication take effect.
        """
        while True:
            now = self._context.clock.now()
            if self._has_duty("checkpoint", now):
                await self._context.control.write_checkpoint_if_due(now)
            is_empty = self._context.control.state.next_offset == 0
            interval_ms = self._context.settings.checkpoint_interval_ms
            await asyncio.sleep(0.1 if is_empty else interval_ms / 1000)

    def _learn_withdrawals(self, withdrawals: Withdrawals) -> None:
        if self._context.rollouts.learn_withdrawals(withdrawals):
            # Published again by this host, so that the withdrawal still spreads after
            # the host that decided it has failed.
            self._context.gossip.put_withdrawals(
                self._context.rollouts.withdrawals, self._context.clock.now()
            )

    def _learn_crashes(self, suspicions: tuple[CrashSuspicion, ...]) -> None:
        self._context.crash_suspects.merge(suspicions, self._context.clock.now())

    def publish_leaving(self) -> None:
        """Tell other hosts which upstreams this host saw leaving."""
        self._context.gossip.put_leaving(
            self._context.fleet.list_leaving(), self._context.clock.now()
        )

    def publish_crashes(self) -> None:
        """Tell other hosts which requests may crash upstreams."""
        now = self._context.clock.now()
        self._context.gossip.put_crashes(
            self._context.crash_suspects.list_suspicions(now), now
        )

    def drop_outdated_revisions(self) -> None:
        """Drop the rollout state of replaced document revisions."""
        configurations = self._context.control.configurations
        self._context.rollouts.drop_outdated_revisions(
            {name: item.revision for name, item in configurations.items()}
        )

    def _has_duty(self, duty: str, now: Instant) -> bool:
        """Return whether this host holds a duty of its data centre.

        A duty goes to one of the live hosts; while none is known, this host holds it.
        """
        own = self._context.settings.data_centre
        live = [
            member
            for member in self._context.peers.roster.list_live(now)
            if member.data_centre == own
        ]
        holder = assign(duty, live)
        return holder is None or holder == self._context.settings.host_id
