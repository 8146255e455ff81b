"""The operator's interface: its server, its client and their schema."""
