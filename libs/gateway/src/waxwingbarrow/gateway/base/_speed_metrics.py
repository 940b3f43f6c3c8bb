"""Metrics of the estimated speed of engines."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Gauge


class SpeedMetrics:
    """Speed of the engines of each service that capacity is planned with."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._speed = Gauge(
            "waxwingbarrow_gateway_engine_speed",
            "Speed of engines in use, by figure",
            ("service", "figure"),
            registry=registry,
        )
        self._first_events = Gauge(
            "waxwingbarrow_gateway_engine_first_events",
            "First events that the estimate of this host is made from",
            ("service",),
            registry=registry,
        )

    def set(
        self, service: str, figures: Mapping[str, float], first_events: int
    ) -> None:
        """Set the speed of a service's engines, by the names of `EngineSpeed`."""
        for figure, value in figures.items():
            self._speed.labels(service, figure).set(value)
        self._first_events.labels(service).set(first_events)
