"""Traffic share and verdict of a rollout."""
