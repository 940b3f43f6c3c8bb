"""Simulated hosts that compete for the duties, with a store and a cloud.

Time is simulated: the loops of `DutyRunner` run unchanged, and their pauses end when
the clock of the network has advanced.
"""

import asyncio
import contextlib
import heapq
import itertools
import random
from contextvars import ContextVar
from types import SimpleNamespace

import attrs
from peer_network import Network, StrictSupervisor
from result import Err, Ok

from waxwingbarrow.core import DataCentre, ServiceName
from waxwingbarrow.gateway import (
    CloudUnreachable,
    DutyAssignment,
    Fenced,
    StoreUnreachable,
)
from waxwingbarrow.gateway.base._metrics import Metrics
from waxwingbarrow.gateway.duties import _duties, _leased_cloud
from waxwingbarrow.gateway.duties._duties import MEMBER_TTL_MS, DutyRunner, Lease
from waxwingbarrow.gateway.duties._leased_cloud import LeasedCloud

LEASE_MS = 3_000
# Calls within this time after their sender was unfrozen or its link recovered do not
# count.
THAW_MS = 300
STEP_MS = 10
HEARTBEAT_MS = 250
# Time after which a call over a cut link fails.
CUT_TIMEOUT_MS = 800
CENTRES = (DataCentre("dc0"), DataCentre("dc1"))
SERVICES = (ServiceName("s1"), ServiceName("s2"), ServiceName("s3"))
# Name of the host whose code is running; its pauses do not end while it is frozen.
RUNNING_HOST: ContextVar[str | None] = ContextVar("host", default=None)


@attrs.frozen
class CloudCall:
    """A call that reached the cloud.

    Parameters
    ----------
    subject : tuple of str
        What the call is about; tokens are compared for each subject.
    """

    at_ms: int
    host: str
    subject: tuple[str, ...]
    token: int


class Group:
    """The store's group: one member is assigned the duties.

    Every change of the members may move them to any member, and the previous one is not
    told.
    """

    def __init__(self, rng):
        self._rng = rng
        self._expires_ms = {}
        self.owner = None
        self.generation = 0
        self.epochs = {}

    def expire(self, now_ms):
        for member, expires_ms in list(self._expires_ms.items()):
            if expires_ms <= now_ms:
                self.remove(member)

    def remove(self, member):
        if self._expires_ms.pop(member, None) is not None:
            self._reassign()

    def renew(self, member, ttl_ms, now_ms):
        is_new = member not in self._expires_ms
        self._expires_ms[member] = now_ms + ttl_ms
        if is_new:
            self._reassign()
        return DutyAssignment(self.owner == member, self.generation)

    def _reassign(self):
        self.generation += 1
        members = sorted(self._expires_ms)
        self.owner = self._rng.choice(members) if members else None


class HostStore:
    """A host's access to the store."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def _reach(self):
        """Wait until a call has reached the store; return whether it has."""
        if self._name in self._network.without_store:
            await self._network.sleep(CUT_TIMEOUT_MS / 1000)
            return False
        # The store goes on while the host is frozen.
        await self._network.sleep_apart(self._network.draw_store_latency_s())
        return True

    async def _return(self):
        await self._network.sleep(self._network.draw_store_latency_s())

    async def renew_membership(self, member, ttl_ms, generation):
        if not await self._reach():
            return Err(StoreUnreachable("cut"))
        assignment = self._network.group.renew(member, ttl_ms, self._network.now_ms)
        await self._return()
        return Ok(assignment)

    async def leave_group(self, member):
        if not await self._reach():
            return Err(StoreUnreachable("cut"))
        self._network.group.remove(member)
        return Ok(None)

    async def fence(self, topic, epoch):
        if not await self._reach():
            return Err(StoreUnreachable("cut"))
        epochs = self._network.group.epochs
        is_fenced = epoch < epochs.get(topic, 0)
        epochs[topic] = max(epochs.get(topic, 0), epoch)
        await self._return()
        return Err(Fenced()) if is_fenced else Ok(None)


class HostCloud:
    """A host's access to a cloud that does not check fencing tokens."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def _call(self, subject, token):
        network = self._network
        if self._name in network.without_cloud:
            await network.sleep(CUT_TIMEOUT_MS / 1000)
            return Err(CloudUnreachable("cut"))
        arrival_ms = network.now_ms + network.rng.randrange(30)
        network.calls.append(CloudCall(arrival_ms, self._name, subject, token))
        await network.sleep(network.rng.uniform(0.02, 0.3))
        return Ok(None)

    async def order_workers(self, service, centre, count, reclaimable, token):
        return await self._call(("scale", service, centre), token)

    async def report_usage(self, window, counts, token):
        return await self._call(("usage",), token)


class CallTask:
    """Duty that makes several calls to the cloud at each step, as scaling does."""

    def __init__(self, cloud):
        self._cloud = cloud

    async def step(self, token, now):
        await self._cloud.report_usage(1, {}, token)
        for service, centre in itertools.product(SERVICES, CENTRES):
            await self._cloud.order_workers(service, centre, 1, False, token)


class DutyNetwork:
    """Hosts of a simulated network with the loops of their duties.

    Parameters
    ----------
    rivals : tuple of str
        Names of the hosts that always compete for the duties. Without any, the hosts
        elect the candidates.

    Attributes
    ----------
    without_store, without_cloud : set
        Names of the hosts that do not reach the store, and the cloud.
    calls : list
        Calls that reached the cloud.
    """

    def __init__(self, monkeypatch, host_count, seed, store_latency_s, rivals=()):
        self.rng = random.Random(seed)
        self._store_latency_s = store_latency_s
        if host_count == 7:
            self.network = Network(2, 3)
            self.network.add("h1-3", "dc1", "10.1.0.3")
            self.network.register_all()
        else:
            self.network = Network(2, host_count // 2)
        self.group = Group(self.rng)
        self._rivals = rivals
        self.without_store, self.without_cloud = set(), set()
        self.frozen = set()
        self.calls = []
        self.resumed_ms = {}
        self._number = itertools.count()
        self._pauses = []
        self._tasks, self._runners = {}, {}
        fake = SimpleNamespace(sleep=self.sleep, TaskGroup=asyncio.TaskGroup)
        monkeypatch.setattr(_duties, "asyncio", fake)
        # A call that waits for a cut link fails by itself here.
        fake = SimpleNamespace(timeout=lambda s: contextlib.nullcontext())
        monkeypatch.setattr(_leased_cloud, "asyncio", fake)

    @property
    def now_ms(self):
        return self.network.clock.now().mono_ms

    def draw_store_latency_s(self):
        return self.rng.uniform(*self._store_latency_s)

    async def sleep(self, delay_s):
        await self._pause(delay_s, RUNNING_HOST.get())

    async def sleep_apart(self, delay_s):
        """Pause also while the host is frozen."""
        await self._pause(delay_s, None)

    async def _pause(self, delay_s, name):
        ended = asyncio.get_running_loop().create_future()
        until_ms = self.now_ms + max(round(delay_s * 1000), 1)
        heapq.heappush(self._pauses, (until_ms, next(self._number), name, ended))
        await ended

    def start_all(self):
        for name in self.network.hosts:
            self.start(name)

    def start(self, name):
        host, clock = self.network.hosts[name], self.network.clock
        lease = Lease(LEASE_MS, MEMBER_TTL_MS)
        cloud = LeasedCloud(HostCloud(self, name), lease, clock)

        def is_candidate():
            if self._rivals:
                return name in self._rivals
            return host.peers.is_candidate(clock.now())

        def note_token(token):
            host.peer_sync.held_fencing_token = token

        runner = DutyRunner(
            f"{name}/{self.now_ms}",
            HostStore(self, name),
            lease,
            [CallTask(cloud)],
            clock,
            is_candidate,
            note_token,
            StrictSupervisor(Metrics().unexpected_failures),
        )
        self._runners[name] = runner
        RUNNING_HOST.set(name)
        self._tasks[name] = asyncio.create_task(runner.run())
        RUNNING_HOST.set(None)

    async def restart(self, name, is_planned, down_ms):
        """Let the process of a host end, and start another one."""
        host = self.network.hosts[name]
        if is_planned:
            RUNNING_HOST.set(name)
            leaving = asyncio.create_task(self._runners[name].stop())
            RUNNING_HOST.set(None)
            while not leaving.done():
                await self.run(100)
        self._tasks[name].cancel()
        self.network.down.add(host.address)
        await self.run(down_ms)
        self.network.down.discard(host.address)
        self.network.add(name, host.centre, host.address)
        self.network.register_all()
        self.start(name)

    def freeze(self, name):
        self.frozen.add(name)
        self.network.down.add(self.network.hosts[name].address)

    def thaw(self, name):
        self.frozen.discard(name)
        self.network.down.discard(self.network.hosts[name].address)
        self.resumed_ms[name] = [*self.resumed_ms.get(name, []), self.now_ms]

    def cut_off(self, names, *, store, cloud):
        """Cut hosts off from the others, and from the store and the cloud if set."""
        for name in names:
            for other in self.network.hosts.keys() - set(names):
                self.network.cut(name, other)
        if store:
            self.without_store |= set(names)
        if cloud:
            self.without_cloud |= set(names)

    def heal(self):
        for name in self.without_cloud:
            self.resumed_ms[name] = [*self.resumed_ms.get(name, []), self.now_ms]
        self.network.cuts.clear()
        self.without_store, self.without_cloud = set(), set()

    async def run(self, ms):
        for _ in range(ms // STEP_MS):
            self.network.clock.advance_ms(STEP_MS)
            self.group.expire(self.now_ms)
            if self.now_ms % HEARTBEAT_MS < STEP_MS:
                self.network.send_heartbeats()
            await self._end_pauses()

    async def _end_pauses(self):
        # Tasks that have just been created begin to run.
        await asyncio.sleep(0)
        held = []
        while self._pauses and self._pauses[0][0] <= self.now_ms:
            pause = heapq.heappop(self._pauses)
            _, _, name, ended = pause
            if name in self.frozen:
                held.append(pause)
                continue
            if not ended.done():
                ended.set_result(None)
            for _ in range(4):
                await asyncio.sleep(0)
        for pause in held:
            heapq.heappush(self._pauses, pause)

    def find_holder(self):
        """Return the host that called last."""
        return max(self.calls, key=lambda call: call.at_ms).host

    def list_counted(self):
        """Return the calls that count, in the order of their arrival."""
        return [
            call
            for call in sorted(self.calls, key=lambda call: call.at_ms)
            if not any(
                0 <= call.at_ms - resumed_ms <= THAW_MS
                for resumed_ms in self.resumed_ms.get(call.host, [])
            )
        ]

    def list_violations(self):
        """Return calls with a lower token than before, and returns of a holder."""
        violations, highest, previous = [], {}, []
        for call in self.list_counted():
            if call.token < highest.get(call.subject, 0):
                violations.append(("lower token", call))
            highest[call.subject] = max(call.token, highest.get(call.subject, 0))
            recent = [c for c in previous if call.at_ms - c.at_ms <= LEASE_MS]
            hosts = [c.host for c in recent]
            if call.host in hosts:
                since = hosts.index(call.host)
                if any(host != call.host for host in hosts[since:]):
                    violations.append(("holder returned", call))
            previous = [*recent, call]
        return violations

    async def close(self):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
