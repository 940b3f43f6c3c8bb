"""Admission of requests: limits of accounts, queueing, early refusal."""

import asyncio
from collections.abc import Iterable, Mapping

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    AccountId,
    Clock,
    HostId,
    Instant,
    Refusal,
    ServiceName,
    ShuttingDown,
)
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._gossip import AccountDemand, HostDemand
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.document import AccountGrant
from waxwingbarrow.limits import (
    AccountLimit,
    Admission,
    AdmissionController,
    AdmissionPolicy,
    AdmissionRequest,
    PeerDemand,
    SharePolicy,
    compute_share,
)

FIRST_TOKENS_PER_S = 50_000.0  # replaced by the measured pace after a few requests
# Engines process a prompt at 50 times or more the rate of one stream's output.
PROMPT_RUN_WEIGHT = 0.02
QUEUE_INTERVAL_S = 0.05


@attrs.define
class _Service:
    controller: AdmissionController
    waiting: dict[int, asyncio.Future[Result[Admission, Refusal]]] = attrs.field(
        factory=dict
    )


class Admissions:
    """One admission controller per service.

    Parameters
    ----------
    clock : Clock
        Source of the present time.
    max_running : int
        Requests of one service that this host runs at once.
    """

    def __init__(self, clock: Clock, max_running: int) -> None:
        self._clock = clock
        self._max_running = max_running
        self._services: dict[ServiceName, _Service] = {}
        self._has_waiting = asyncio.Event()

    def update_shares(
        self,
        configurations: Mapping[ServiceName, Configuration],
        peers: Mapping[HostId, HostDemand],
        learned_at: Mapping[HostId, Instant],
        host_count: int,
        now: Instant,
    ) -> None:
        """Recompute this host's share of every account's limit.

        Parameters
        ----------
        peers : Mapping
            Demand that other hosts gossiped.
        learned_at : Mapping
            When this host last heard of each of them.
        host_count : int
            Hosts known before any cut, this one included.
        """
        for service, configuration in configurations.items():
            entry = self._open(service)
            own = {item.account: item for item in entry.controller.demand(now)}
            limits = []
            for grant in configuration.document.accounts:
                demands = _select(peers, learned_at, service, grant.account)
                mine = own.get(grant.account)
                limits.append(
                    _compute_limit(
                        grant,
                        mine.requests_per_s if mine else 0.0,
                        mine.tokens_per_s if mine else 0.0,
                        demands,
                        host_count,
                        now,
                    )
                )
            entry.controller.set_shares(limits, now)

    def list_demand(self, now: Instant) -> HostDemand:
        """Return what this host gossips about demand."""
        return HostDemand(
            tuple(
                AccountDemand(
                    service,
                    item.account,
                    round(item.requests_per_s, 2),
                    round(item.tokens_per_s, 1),
                )
                for service, entry in self._services.items()
                for item in entry.controller.demand(now)
            )
        )

    async def admit(
        self, request: CallerRequest, output_tokens: int, prompt_tokens: int = 0
    ) -> Result[Admission, Refusal]:
        """Wait until the request may run, or refuse it as not run."""
        entry = self._open(request.service)
        now = self._clock.now()
        deadline = now.plus_ms(request.deadline_mono_ms - now.mono_ms)
        wanted = AdmissionRequest(
            account=request.account,
            priority_class=request.priority_class,
            tokens=prompt_tokens + output_tokens,
            deadline=deadline,
            run_tokens=int(prompt_tokens * PROMPT_RUN_WEIGHT) + output_tokens,
        )
        admitted = entry.controller.admit(wanted, now)
        if isinstance(admitted, Err) or admitted.ok_value.ready:
            return admitted
        admission = admitted.ok_value
        future: asyncio.Future[Result[Admission, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        entry.waiting[admission.admission_id] = future
        self._has_waiting.set()
        try:
            return await future
        except asyncio.CancelledError:
            entry.controller.finish(admission, 0, self._clock.now())
            raise
        finally:
            entry.waiting.pop(admission.admission_id, None)

    def finish(
        self, service: ServiceName, admission: Admission, tokens_used: int
    ) -> None:
        """Note that an admitted request has ended."""
        entry = self._open(service)
        entry.controller.finish(admission, tokens_used, self._clock.now())
        self._advance(entry)

    async def run(self) -> None:
        """Start waiting requests and refuse the hopeless ones until cancelled."""
        while True:
            # An idle host must not wake up for an empty queue.
            await self._has_waiting.wait()
            await asyncio.sleep(QUEUE_INTERVAL_S)
            for entry in self._services.values():
                if entry.waiting:
                    self._advance(entry)
            if not any(entry.waiting for entry in self._services.values()):
                self._has_waiting.clear()

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests; used when the host stops."""
        for entry in self._services.values():
            for future in entry.waiting.values():
                if not future.done():
                    future.set_result(Err(ShuttingDown(retry_after_s=1)))

    def _advance(self, entry: _Service) -> None:
        progress = entry.controller.next_ready(self._clock.now())
        for admission in progress.ready:
            future = entry.waiting.get(admission.admission_id)
            if future is None or future.done():
                entry.controller.finish(admission, 0, self._clock.now())
            else:
                future.set_result(Ok(admission))
        for refused in progress.refused:
            future = entry.waiting.get(refused.admission.admission_id)
            if future is not None and not future.done():
                future.set_result(Err(refused.refusal))

    def _open(self, service: ServiceName) -> _Service:
        entry = self._services.get(service)
        if entry is None:
            controller = AdmissionController(
                self._max_running, FIRST_TOKENS_PER_S, AdmissionPolicy()
            )
            entry = self._services[service] = _Service(controller)
        return entry


@attrs.frozen
class _Demands:
    requests: tuple[PeerDemand, ...]
    tokens: tuple[PeerDemand, ...]


def _select(
    peers: Mapping[HostId, HostDemand],
    learned_at: Mapping[HostId, Instant],
    service: ServiceName,
    account: AccountId,
) -> _Demands:
    requests, tokens = [], []
    for host, demand in peers.items():
        found = _find(demand.items, service, account)
        heard = learned_at[host]
        requests.append(PeerDemand(host, found.requests_per_s if found else 0.0, heard))
        tokens.append(PeerDemand(host, found.tokens_per_s if found else 0.0, heard))
    return _Demands(tuple(requests), tuple(tokens))


def _find(
    items: Iterable[AccountDemand], service: ServiceName, account: AccountId
) -> AccountDemand | None:
    for item in items:
        if item.service == service and item.account == account:
            return item
    return None


def _compute_limit(
    grant: AccountGrant,
    own_requests_per_s: float,
    own_tokens_per_s: float,
    demands: _Demands,
    host_count: int,
    now: Instant,
) -> AccountLimit:
    policy = SharePolicy()
    # A plain service has no token limit of its own; each call counts as one token.
    tokens_per_s = grant.tokens_per_s or grant.requests_per_s
    if not grant.tokens_per_s:
        own_tokens_per_s, demands = (
            own_requests_per_s,
            attrs.evolve(demands, tokens=demands.requests),
        )
    return AccountLimit(
        account=grant.account,
        tokens_per_s=compute_share(
            tokens_per_s, own_tokens_per_s, demands.tokens, host_count, now, policy
        ),
        requests_per_s=compute_share(
            grant.requests_per_s,
            own_requests_per_s,
            demands.requests,
            host_count,
            now,
            policy,
        ),
        classes=frozenset(grant.classes),
    )
