"""Demo, measurements and proofs."""
