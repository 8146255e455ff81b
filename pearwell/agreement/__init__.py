"""State shared by the instances of a zone: cluster membership and gossiped entries."""
