"""Admin API for operators: server, client and the translation of its schema."""
