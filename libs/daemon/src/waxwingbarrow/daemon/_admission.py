"""Admission of requests: account limits, queueing and early refusal."""

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

INITIAL_TOKENS_PER_S = 50_000.0  # until the rate is measured, after a few requests
# Run time of a prompt token, in output tokens. Engines process a prompt at least 50
# times as fast as they generate the output of one stream.
PROMPT_TOKEN_COST = 0.02
QUEUE_POLL_INTERVAL_S = 0.05


@attrs.define
class _ServiceQueue:
    """Admission controller of a service; its waiting requests by admission id."""

    controller: AdmissionController
    waiting: dict[int, asyncio.Future[Result[Admission, Refusal]]] = attrs.field(
        factory=dict
    )


class Admissions:
    """Admits, queues or refuses requests, with one admission controller per service.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    max_running : int
        Maximum number of requests of one service that run on this host at once.
    """

    def __init__(self, clock: Clock, max_running: int) -> None:
        self._clock = clock
        self._max_running = max_running
        self._services: dict[ServiceName, _ServiceQueue] = {}
        self._has_waiting = asyncio.Event()

    def update_shares(
        self,
        configurations: Mapping[ServiceName, Configuration],
        peers: Mapping[HostId, HostDemand],
        received_at: Mapping[HostId, Instant],
        host_count: int,
        now: Instant,
    ) -> None:
        """Recompute this host's share of every account's limit.

        Parameters
        ----------
        peers : Mapping
            Demand that other hosts reported by gossip.
        received_at : Mapping
            When this host last received information about each of them.
        host_count : int
            Number of hosts, including this one. During a network partition it stays
            the number from before.
        """
        for service, configuration in configurations.items():
            entry = self._get_queue(service)
            own_demands = {item.account: item for item in entry.controller.demand(now)}
            limits = []
            for grant in configuration.document.accounts:
                demands = _select_peer_demands(
                    peers, received_at, service, grant.account
                )
                own_demand = own_demands.get(grant.account)
                limits.append(
                    _compute_limit(
                        grant,
                        own_demand.requests_per_s if own_demand else 0.0,
                        own_demand.tokens_per_s if own_demand else 0.0,
                        demands,
                        host_count,
                        now,
                    )
                )
            entry.controller.set_shares(limits, now)

    def list_demand(self, now: Instant) -> HostDemand:
        """Return the demand at this host, which it reports to others by gossip."""
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
        """Wait until the request may run; a refused request has not been run.

        Parameters
        ----------
        output_tokens : int
            Largest number of tokens that the request may generate.
        prompt_tokens : int
            Estimated number of tokens in the prompt.
        """
        entry = self._get_queue(request.service)
        now = self._clock.now()
        deadline = now.plus_ms(request.deadline_mono_ms - now.mono_ms)
        admission_request = AdmissionRequest(
            account=request.account,
            priority_class=request.priority_class,
            tokens=prompt_tokens + output_tokens,
            deadline=deadline,
            run_tokens=int(prompt_tokens * PROMPT_TOKEN_COST) + output_tokens,
        )
        admitted = entry.controller.admit(admission_request, now)
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
        """Release the admission of a request that has ended."""
        entry = self._get_queue(service)
        entry.controller.finish(admission, tokens_used, self._clock.now())
        self._resolve_waiting(entry)

    async def run(self) -> None:
        """Admit waiting requests, and refuse those that cannot meet their deadline.

        Runs until cancelled.
        """
        while True:
            # Blocks while the queues are empty, so that an idle host uses no CPU time.
            await self._has_waiting.wait()
            await asyncio.sleep(QUEUE_POLL_INTERVAL_S)
            for entry in self._services.values():
                if entry.waiting:
                    self._resolve_waiting(entry)
            if not any(entry.waiting for entry in self._services.values()):
                self._has_waiting.clear()

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, because the host is shutting down."""
        for entry in self._services.values():
            for future in entry.waiting.values():
                if not future.done():
                    future.set_result(Err(ShuttingDown(retry_after_s=1)))

    def _resolve_waiting(self, entry: _ServiceQueue) -> None:
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

    def _get_queue(self, service: ServiceName) -> _ServiceQueue:
        entry = self._services.get(service)
        if entry is None:
            controller = AdmissionController(
                self._max_running, INITIAL_TOKENS_PER_S, AdmissionPolicy()
            )
            entry = self._services[service] = _ServiceQueue(controller)
        return entry


@attrs.frozen
class _PeerDemands:
    requests: tuple[PeerDemand, ...]
    tokens: tuple[PeerDemand, ...]


def _select_peer_demands(
    peers: Mapping[HostId, HostDemand],
    received_at: Mapping[HostId, Instant],
    service: ServiceName,
    account: AccountId,
) -> _PeerDemands:
    requests, tokens = [], []
    for host, demand in peers.items():
        account_demand = _find_demand(demand.items, service, account)
        reported_at = received_at[host]
        requests.append(
            PeerDemand(
                host,
                account_demand.requests_per_s if account_demand else 0.0,
                reported_at,
            )
        )
        tokens.append(
            PeerDemand(
                host,
                account_demand.tokens_per_s if account_demand else 0.0,
                reported_at,
            )
        )
    return _PeerDemands(tuple(requests), tuple(tokens))


def _find_demand(
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
    demands: _PeerDemands,
    host_count: int,
    now: Instant,
) -> AccountLimit:
    policy = SharePolicy()
    # Plain services have no token limit; each request counts as one token.
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
