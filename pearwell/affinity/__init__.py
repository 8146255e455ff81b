"""Affinity by a token that each packet carries: decisions on flows, free of I/O.

Every module here stays on the light import path of the platform's role: no dataclasses, typing,
asyncio or third-party package, since a restarted instance forwards nothing while it imports.
"""
