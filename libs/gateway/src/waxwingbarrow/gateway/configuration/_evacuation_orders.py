"""Applies the operator's orders to evacuate data centres."""

from waxwingbarrow.core import DataCentre, Instant
from waxwingbarrow.gateway.base import Service
from waxwingbarrow.gateway.requests import Planner
from waxwingbarrow.gateway.upstreams import Fleet, UpstreamProcess


class EvacuationOrders:
    """Evacuates data centres, and lets traffic return gradually.

    Upstreams of a service with a cold phase get at most the rate that cold ones
    tolerate for the length of that phase: without requests they may have become cold.
    """

    def __init__(self, fleet: Fleet, planner: Planner) -> None:
        self._fleet = fleet
        self._planner = planner
        # Processes without permits, by data centre. Their registrations may lapse and
        # come back meanwhile.
        self._closed: dict[DataCentre, dict[UpstreamProcess, Service]] = {}

    def apply(self, data_centre: DataCentre, offset: int, now: Instant) -> None:
        """Send nothing more to the upstreams of a data centre."""
        self._fleet.evacuations.note_order(data_centre, offset, now)
        closed = self._closed.setdefault(data_centre, {})
        closed |= self._find_cold_prone(data_centre)
        for process in closed:
            self._fleet.notices.return_limits.close(process)

    def revoke(self, data_centre: DataCentre, now: Instant) -> None:
        """Use the upstreams of a data centre again, if it was evacuated."""
        if not self._fleet.evacuations.note_revocation(data_centre, now):
            return
        returning = self._closed.pop(data_centre, {})
        returning |= self._find_cold_prone(data_centre)
        for process, service in returning.items():
            until = now.plus_ms(round(service.cold_start_s * 1000))
            limits = self._fleet.notices.return_limits
            limits.open(process, service.cold_limit_per_s, until)

    def _find_cold_prone(
        self, data_centre: DataCentre
    ) -> dict[UpstreamProcess, Service]:
        """Return the upstreams there whose services have a cold phase."""
        table = self._planner.table
        services = table.services if table is not None else {}
        return {
            upstream.process: services[upstream.entry.service]
            for upstream in self._fleet.upstreams.values()
            if upstream.entry.data_centre == data_centre
            and upstream.entry.service in services
            and services[upstream.entry.service].has_cold_phase
        }
