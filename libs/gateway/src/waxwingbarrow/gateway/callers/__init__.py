"""Connections of callers: reading requests and writing responses."""

from waxwingbarrow.gateway.callers._caller_memory import CallerMemory
from waxwingbarrow.gateway.callers._callers import CallerServer, Responder

__all__ = ["CallerMemory", "CallerServer", "Responder"]
