"""Faults of the store that a soak injects, from refusals to a restore from an older copy."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from pearwell.soak.schedule import FaultKind
from pearwell.standins.object_server import ObjectServer

__all__ = ["LEASE_S", "restore_from_copy", "switch_fault"]

# Time until the operator has noticed that its latest configuration is lost.
REWRITE_DELAY_S = 0.3
# Three intervals between the writes of a host, after which its entry lapses.
LEASE_S = 1.5
# Fault switch by kind, and its value; STORE_REFUSES has a value of its own for each fault.
_SWITCHES: dict[FaultKind, tuple[str, Any]] = {
    FaultKind.STORE_DOWN: ("status", 503),
    FaultKind.STORE_SILENT: ("silent", True),
    FaultKind.STORE_SLOW: ("delay_s", 0.3),
    FaultKind.STORE_REFUSES: ("refused", frozenset()),
}
# What calls get while the store is away before a restore.
_AWAY_KINDS = (None, FaultKind.STORE_DOWN, FaultKind.STORE_SILENT)


async def switch_fault(
    store: ObjectServer, kind: FaultKind, for_s: float, refused: frozenset[str] = frozenset()
) -> None:
    """Switches a fault on for a time.

    Args:
        store: The store.
        kind: A kind of store fault that has a switch.
        for_s: Duration in seconds.
        refused: IP addresses of the clients that STORE_REFUSES affects.
    """
    name, value = _SWITCHES[kind]
    before = getattr(store.faults, name)
    setattr(store.faults, name, refused or value)
    await asyncio.sleep(for_s)
    setattr(store.faults, name, type(before)())


async def restore_from_copy(
    store: ObjectServer,
    age_s: float,
    away_s: float,
    variant: int,
    write_again: Callable[[], Awaitable[None]],
) -> None:
    """Takes a copy, and later restores the store from it.

    Hosts write their entries again by themselves; entries of hosts that are gone lapse.

    Args:
        store: The store.
        age_s: Age of the copy in seconds at the restore.
        away_s: Time in seconds for which the store is away before it.
        variant: Selects whether the store refuses calls, is silent or works while it is away.
        write_again: Writes what the operator has written since the copy.
    """
    copy = store.history.copy()
    await asyncio.sleep(age_s)
    away_kind = _AWAY_KINDS[variant % len(_AWAY_KINDS)]
    if away_kind is not None:
        await switch_fault(store, away_kind, away_s)
    await store.restore(copy)
    await asyncio.sleep(REWRITE_DELAY_S)
    await write_again()
    await asyncio.sleep(LEASE_S - REWRITE_DELAY_S)
    for kind, name in store.history.unconfirmed:
        if kind == "servers":
            await store.remove(kind, name)
