"""Keys of the records in the operator's topic."""

import attrs

from waxwingbarrow.core import DataCentre, ServiceName


@attrs.frozen
class RolloutKey:
    """Key of the rollout order of a service."""

    service: ServiceName


@attrs.frozen
class EvacuationKey:
    """Key of the order to send nothing to the upstreams of a data centre."""

    data_centre: DataCentre


OperatorKey = RolloutKey | EvacuationKey
