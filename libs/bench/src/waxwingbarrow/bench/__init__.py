"""Demonstration, measurements, and proofs that promises hold while parts fail."""
