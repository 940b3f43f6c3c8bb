"""Clients for the platform: log, weight store, cloud API, host list."""
