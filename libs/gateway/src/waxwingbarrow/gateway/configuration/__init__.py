"""Changes of the store's topics, applied to the other parts."""

from waxwingbarrow.gateway.configuration._change_applier import ChangeApplier
from waxwingbarrow.gateway.configuration._registrations import Registrations

__all__ = ["ChangeApplier", "Registrations"]
