"""Connections of callers: reading requests and writing responses."""

from waxwingbarrow.gateway.callers._callers import CallerServer, Responder

__all__ = ["CallerServer", "Responder"]
