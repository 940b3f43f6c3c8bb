"""Gossip map, failure detection and duty assignment."""
