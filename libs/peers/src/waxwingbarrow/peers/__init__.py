"""gRPC exchange between daemons."""
