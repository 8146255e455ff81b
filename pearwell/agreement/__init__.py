"""What the instances of a zone agree on: the members, and entries spread by gossip."""
