"""Deterministic fold of the control log stream."""
