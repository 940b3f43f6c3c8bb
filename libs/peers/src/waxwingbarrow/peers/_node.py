"""Node that exchanges gossip and control state with other daemons."""

import asyncio
import logging
import random
from typing import Any

import attrs
import grpc
from result import Err

from waxwingbarrow.core import Clock, HostId, Instant
from waxwingbarrow.membership import (
    MEMBER_TOPIC,
    FailureDetector,
    GossipMap,
    Member,
    MembershipSnapshot,
    MemberStatus,
    Roster,
    choose_peers,
    choose_probes,
    write_member,
)
from waxwingbarrow.peers._control import ControlCallbacks
from waxwingbarrow.peers._link import (
    Link,
    LinkContext,
    PeerCounters,
    PeerSilent,
    StreamBroken,
)
from waxwingbarrow.peers._outgoing import OutgoingHooks, OutgoingPeer
from waxwingbarrow.peers._settings import PeerSettings
from waxwingbarrow.peers._transport import make_server

# A minute is short compared with the hour for which a dead member's entries are kept.
EXPIRY_CHECK_INTERVAL_MS = 60_000

logger = logging.getLogger(__name__)


class PeerNode:
    """Peer server, outgoing streams and heartbeat of one daemon.

    All methods are called from the event loop that runs `run`.

    Parameters
    ----------
    settings : PeerSettings
        Addresses, intervals, timeouts and size limits.
    member : Member
        This host as other hosts see it.
    gossip_map : GossipMap
        Items to exchange; the daemon writes its own items into it.
    detector : FailureDetector
        Heartbeat counters.
    clock : Clock
        Source of the current time.
    control : ControlCallbacks
        Control state of this host.
    rng : random.Random
        Source of the backoff jitter.
    """

    def __init__(
        self,
        settings: PeerSettings,
        member: Member,
        gossip_map: GossipMap,
        detector: FailureDetector,
        clock: Clock,
        control: ControlCallbacks,
        rng: random.Random,
    ) -> None:
        self.counters = PeerCounters()
        self.roster = Roster(gossip_map, detector, member.data_centre)
        self._settings = settings
        self._member = member
        self._map = gossip_map
        self._detector = detector
        self._clock = clock
        self._rng = rng
        self._context = LinkContext(
            settings=settings,
            read_member=lambda: self._member,
            gossip_map=gossip_map,
            detector=detector,
            clock=clock,
            control=control,
            counters=self.counters,
            on_open=self._admit_link,
            on_urgent=self.broadcast_now,
        )
        self._links: set[Link] = set()
        self._hooks = OutgoingHooks(
            self._has_inbound, self._links.add, self._links.discard
        )
        self._outgoing: dict[str, tuple[OutgoingPeer, asyncio.Task[None]]] = {}
        self._ending_tasks: set[asyncio.Task[None]] = set()
        self._host_by_seed: dict[str, HostId] = {}
        self._last_membership = MembershipSnapshot((), ())
        self._live_hosts: set[HostId] = set()
        self._live_addresses: set[str] = set()
        self._selected_peers: tuple[Member, ...] = ()
        self._expiry_due_ms = 0
        self._server: grpc.aio.Server | None = None
        self._stopping = asyncio.Event()

    @property
    def has_peers(self) -> bool:
        """Whether a stream to any other host is open."""
        return any(link.peer is not None for link in self._links)

    def list_peers(self) -> tuple[HostId, ...]:
        """Return the hosts with an open stream."""
        return tuple(
            sorted({link.peer.host_id for link in self._links if link.peer is not None})
        )

    def broadcast_now(self) -> None:
        """Send pending updates to all peers without waiting for the next interval."""
        for link in self._links:
            link.wake()

    def set_status(self, status: MemberStatus) -> None:
        """Announce to all hosts that this one is alive, draining or has left."""
        self._member = attrs.evolve(self._member, status=status)
        self._publish_member(self._clock.now())
        self.broadcast_now()

    def stop(self) -> None:
        """Make `run` announce the departure, close all streams and return."""
        self._stopping.set()

    async def run(self) -> None:
        """Exchange frames with peers until `stop` is called.

        Raises
        ------
        PeerListenError
            If the server cannot listen at its address.
        """
        await self._start_server()
        try:
            self._publish_member(self._clock.now())
            await self._maintain_until_stopped()
            self.set_status(MemberStatus.LEFT)
        finally:
            await self._close_streams()
            await self._stop_server()

    async def _start_server(self) -> None:
        self._server = make_server(self._settings, self._serve_inbound)
        await self._server.start()
        logger.info("peers: Listening at %s.", self._settings.listen_address)

    async def _maintain_until_stopped(self) -> None:
        update_due_ms = 0
        while not self._stopping.is_set():
            now = self._clock.now()
            self._detector.beat(now)
            for link in self._links:
                if not link.inbound:
                    link.wake()
            if now.mono_ms >= update_due_ms:
                self._update_streams(now)
                update_due_ms = now.mono_ms + self._settings.peer_selection_interval_ms
            try:
                async with asyncio.timeout(self._settings.gossip_interval_ms / 1000):
                    await self._stopping.wait()
            except TimeoutError:
                pass

    async def _close_streams(self) -> None:
        for address in tuple(self._outgoing):
            self._end_outgoing(address)
        for link in tuple(self._links):
            link.close()
        if self._ending_tasks:
            timeout_s = 2 * self._settings.stop_timeout_ms / 1000
            _, unfinished = await asyncio.wait(self._ending_tasks, timeout=timeout_s)
            for task in unfinished:
                task.cancel()
            await asyncio.gather(*unfinished, return_exceptions=True)

    async def _stop_server(self) -> None:
        assert self._server is not None
        await self._server.stop(self._settings.stop_timeout_ms / 1000)
        logger.info("peers: Stopped.")

    def _publish_member(self, now: Instant) -> None:
        payload = write_member(self._member)
        self._map.put_local(MEMBER_TOPIC, payload, now, urgent=True)

    def _update_streams(self, now: Instant) -> None:
        """Open and end outgoing streams to match the live members and the seeds."""
        self.roster.refresh(now)
        if now.mono_ms >= self._expiry_due_ms:
            self.roster.remove_expired(now)
            self._expiry_due_ms = now.mono_ms + EXPIRY_CHECK_INTERVAL_MS
        self._select_peers(now)
        targets = self._list_targets()
        for address, (peer, task) in tuple(self._outgoing.items()):
            if address not in targets or task.done():
                self._end_outgoing(address)
            else:
                # The stream to a seed is kept when its host becomes a member.
                peer.host_id = targets[address]
        for address, host_id in targets.items():
            if address not in self._outgoing:
                self._start_outgoing(address, host_id)
        self._distribute_gossip_rate()

    def _select_peers(self, now: Instant) -> None:
        membership = self.roster.classify_members(now)
        if membership == self._last_membership:
            return
        self._last_membership = membership
        self._live_hosts = {member.host_id for member in membership.live}
        self._live_addresses = {member.peer_address for member in membership.live}
        host_id = self._member.host_id
        self._selected_peers = (
            *choose_peers(host_id, membership.live, self._settings.peer_count),
            *choose_probes(host_id, membership.live, membership.lost),
        )

    def _list_targets(self) -> dict[str, HostId | None]:
        targets: dict[str, HostId | None] = {
            member.peer_address: member.host_id for member in self._selected_peers
        }
        for seed in self._settings.seeds:
            known = (
                seed in self._live_addresses
                or self._host_by_seed.get(seed) in self._live_hosts
            )
            if not known or not self.has_peers:
                targets.setdefault(seed, None)
        targets.pop(self._member.peer_address, None)
        return targets

    def _start_outgoing(self, address: str, host_id: HostId | None) -> None:
        peer = OutgoingPeer(address, host_id, self._context, self._hooks, self._rng)
        self._outgoing[address] = (peer, asyncio.create_task(self._run_outgoing(peer)))

    def _end_outgoing(self, address: str) -> None:
        peer, task = self._outgoing.pop(address)
        peer.stop()
        self._ending_tasks.add(task)
        task.add_done_callback(self._ending_tasks.discard)

    async def _run_outgoing(self, peer: OutgoingPeer) -> None:
        try:
            await peer.run()
        except Exception:
            # The next `_update_streams` starts a new task; other streams go on.
            logger.exception(
                "peers: %s: The task of the outgoing stream failed.", peer.address
            )

    async def _serve_inbound(self, context: Any) -> None:
        link = Link(context, self._context, inbound=True)
        self._links.add(link)
        if self._stopping.is_set():
            link.close()
        try:
            ended = await link.run()
        except Exception:
            logger.exception("peers: %s: The inbound stream failed.", context.peer())
            raise
        finally:
            self._links.discard(link)
        match ended:
            case Err(PeerSilent() | StreamBroken() as failure):
                logger.info("peers: %s: %s", context.peer(), failure.detail)
            case Err(failure):
                logger.warning("peers: %s: %s", context.peer(), failure.detail)
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, failure.detail)

    def _admit_link(self, link: Link) -> bool:
        """Handle the hello of a peer and return whether to keep its stream.

        If both sides opened a stream, the one that the host with the higher id opened
        is closed.
        """
        assert link.peer is not None
        host_id = link.peer.host_id
        self.counters.streams_opened += 1
        for address, (peer, _) in self._outgoing.items():
            if peer.owns(link) and peer.host_id is None:
                self._host_by_seed[address] = host_id
        self._distribute_gossip_rate()
        # Only the host with the higher id closes a stream, so that the two hosts never
        # close both.
        if self._member.host_id < host_id or not self._has_inbound(host_id):
            return True
        for other in self._links:
            if not (other is link or other.inbound) and _is_link_to(other, host_id):
                other.close()
        return link.inbound

    def _has_inbound(self, host_id: HostId | None) -> bool:
        return host_id is not None and any(
            link.inbound and _is_link_to(link, host_id) for link in self._links
        )

    def _distribute_gossip_rate(self) -> None:
        links = [link for link in self._links if link.peer is not None]
        for link in links:
            link.set_gossip_rate(self._settings.gossip_bytes_per_s // len(links))


def _is_link_to(link: Link, host_id: HostId) -> bool:
    return link.peer is not None and link.peer.host_id == host_id
