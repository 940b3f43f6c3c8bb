"""Choice of hosts, weight loads and fenced orders."""
