"""Service documents: classes, schema, reading and comparison."""
