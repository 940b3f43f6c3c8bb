"""Account limits, fair queueing and admission."""
