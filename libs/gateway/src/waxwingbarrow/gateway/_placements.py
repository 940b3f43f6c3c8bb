"""Placement of requests to engines by one host for all, in deployments with relays.

There a host learns of the requests of the others half a second late, when most of their
prompts have been prefilled, and of few of their prompt parts. Hosts that choose by such
figures send several long prompts to one engine while others are idle. The quota keeper
is asked about most requests anyway, so it also tells where to send them. A host follows
the advice as long as it may use that upstream itself.
"""

import random
from collections.abc import Callable

import attrs
from result import Err

from waxwingbarrow.core import DataCentre, Instant, ServiceName, VersionName
from waxwingbarrow.gateway._fleet import Fleet
from waxwingbarrow.gateway._messages import PlacementAdvice, PlacementQuery
from waxwingbarrow.gateway._model import Engine
from waxwingbarrow.routing import (
    BacklogTracker,
    PlacementPolicy,
    PromptPart,
    RequestSize,
    WorkerView,
    choose_worker,
)

# Time until the totals of the relays contain a request: one heartbeat, one exchange
# between relays and one total.
TOTALS_LAG_MS = 750


class PlacementAdviser:
    """Chooses upstreams for the requests of all hosts while this host is the keeper.

    Parameters
    ----------
    policy : PlacementPolicy
        Its data centre is replaced by that of the host that asks.
    find_engine : callable
        Returns the properties of a service's engines; None if they are not known.
    """

    def __init__(
        self,
        fleet: Fleet,
        policy: PlacementPolicy,
        rng: random.Random,
        find_engine: Callable[[ServiceName], Engine | None],
    ) -> None:
        self._fleet = fleet
        self._policy = policy
        self._rng = rng
        self._find_engine = find_engine
        self._backlog = BacklogTracker(policy.prefill_tokens_per_ms, TOTALS_LAG_MS)

    def advise(self, query: PlacementQuery, now: Instant) -> PlacementAdvice | None:
        """Choose an upstream for a request and count the request there.

        A request that cannot start in time is not counted, because it is not sent.
        Returns None if no upstream can be used.
        """
        service = ServiceName(query.service)
        engine = self._find_engine(service)
        if engine is None:
            return None
        parts = tuple(PromptPart(part, tokens) for part, tokens in query.parts)
        views = [
            self._add_backlog(view, now)
            for view in self._fleet.view(
                self._fleet.list_allowed(
                    service,
                    VersionName(query.version) if query.version else None,
                    query.excluded_versions,
                    query.avoided_upstreams,
                ),
                parts,
                engine,
                now,
            )
        ]
        size = RequestSize(
            prompt_tokens=query.prompt_tokens, output_tokens=query.output_tokens
        )
        policy = attrs.evolve(self._policy, data_centre=DataCentre(query.data_centre))
        chosen = choose_worker(size, views, policy, self._rng)
        if isinstance(chosen, Err):
            return None
        placement = chosen.ok_value
        view = placement.view
        if placement.start_ms <= query.latest_start_ms:
            prefill_tokens = max(query.prompt_tokens - view.cached_tokens, 0)
            self._backlog.record(view.upstream, prefill_tokens, now)
            self._fleet.parts.record_prompt(view.upstream, parts)
        return PlacementAdvice(
            str(view.upstream),
            round(placement.start_ms, 1),
            view.cached_tokens,
            view.running,
            placement.candidates,
        )

    def _add_backlog(self, view: WorkerView, now: Instant) -> WorkerView:
        name = view.upstream
        return attrs.evolve(
            view,
            running=view.running + self._backlog.count_unreported(name, now),
            pending_prefill_tokens=self._backlog.measure_pending_tokens(name, now),
        )

    def reset(self) -> None:
        """Forget all placements, because another host places the requests now."""
        self._backlog.clear()
