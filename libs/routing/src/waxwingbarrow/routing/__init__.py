"""Choice of upstream, upstream health, retry budget."""
