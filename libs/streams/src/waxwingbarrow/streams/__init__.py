"""Assembly of streamed answers and resume tokens."""
