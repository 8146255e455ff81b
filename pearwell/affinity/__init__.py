"""Flow affinity by a token that each packet carries: forwarding decisions, without any I/O.

The modules here import neither dataclasses, typing, asyncio nor third-party packages: a restarted
instance forwards nothing until its imports are done.
"""
