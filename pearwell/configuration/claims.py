"""Claims: a platform object per service address, which keeps two services from sharing one."""

import asyncio
import contextlib
import ipaddress
import random
from typing import Any, Protocol

from pearwell.errors import Code, ConfigurationError, ConflictError, PlatformError
from pearwell.model.service import ServiceSpec
from pearwell.object_store import ObjectStore, StoredObject

__all__ = ["CLAIM_KIND", "ClaimHolders", "Claims", "claim_name"]

CLAIM_KIND = "claim"

MAX_ATTEMPTS = 6
# Delay before an unfinished claim of another service is taken over.
MIN_TAKEOVER_DELAY_S = 0.2
MAX_TAKEOVER_DELAY_S = 0.5

_WRITE_CONFLICT_CODES = frozenset(
    {Code.PLATFORM_CONFLICT, Code.PLATFORM_ALREADY_EXISTS, Code.PLATFORM_NOT_FOUND}
)


class ClaimHolders(Protocol):
    """Access to the services that hold claims."""

    async def uses_address(self, holder: str, service: ServiceSpec) -> bool:
        """Returns whether a service uses the address, port and transport of another service."""

    async def fence(self, holder: str, service: ServiceSpec) -> bool:
        """Raises the version of a service in the platform unless it uses the address.

        Returns:
            True if the service uses the address.
        """


class Claims:
    """Acquires and releases claims on service addresses.

    A writer reads the service, acquires the claim, and then writes the service conditionally on
    the version that it read. Acquiring a claim always writes the claim object. A claim of a service
    that doesn't use the address, left by a slow or crashed writer, is taken over: the writer first
    raises the other service's version, so that its unfinished write fails, and then writes the
    claim. With these rules, no order of events gives two services the same address.

    Args:
        store: The platform.
        rng: Source of the random delay before a takeover.
        holders: Access to the services that hold claims.
    """

    def __init__(self, store: ObjectStore, rng: random.Random, holders: ClaimHolders) -> None:
        self._store = store
        self._rng = rng
        self._holders = holders

    async def acquire(self, service: ServiceSpec, key: str) -> None:
        """Acquires the claim on a service's address.

        Args:
            service: The service that is about to be written.
            key: Idempotency key of the change.

        Raises:
            ConfigurationError: CONFIG_ADDRESS_OVERLAP if another service uses the address.
            ConflictError: CONFIG_CONFLICT if other writers changed the claim in every attempt.
            PlatformError: The platform failed.
        """
        name = claim_name(service)
        await self._wait_for_holder(name, service)
        for attempt in range(MAX_ATTEMPTS):
            claim = await self._read(name)
            holder = _holder(claim)
            if holder not in ("", service.name) and await self._holders.fence(holder, service):
                raise _address_overlap(holder, service)
            value = {"holder": service.name, "key": key, "attempt": attempt}
            if await self._write(name, claim, value):
                return
        raise ConflictError(Code.CONFIG_CONFLICT, f"other writers are claiming {service.address}")

    async def find(self, service: ServiceSpec) -> StoredObject | None:
        """Returns the claim that a service holds on its address, or None."""
        claim = await self._read(claim_name(service))
        return claim if _holder(claim) == service.name else None

    async def release(self, claim: StoredObject) -> None:
        """Deletes a claim that was found before the write that freed its address.

        The claim stays if it has been acquired again since. If the platform fails, the claim is
        left over until the next writer that needs the address takes it over.
        """
        with contextlib.suppress(PlatformError):
            await self._store.delete(CLAIM_KIND, claim.name, claim.version)

    async def _wait_for_holder(self, name: str, service: ServiceSpec) -> None:
        holder = _holder(await self._read(name))
        if holder in ("", service.name):
            return
        if await self._holders.uses_address(holder, service):
            raise _address_overlap(holder, service)
        await asyncio.sleep(self._rng.uniform(MIN_TAKEOVER_DELAY_S, MAX_TAKEOVER_DELAY_S))

    async def _read(self, name: str) -> StoredObject | None:
        try:
            return await self._store.get(CLAIM_KIND, name)
        except PlatformError as error:
            if error.code is Code.PLATFORM_NOT_FOUND:
                return None
            raise

    async def _write(self, name: str, claim: StoredObject | None, value: dict[str, Any]) -> bool:
        try:
            if claim is None:
                await self._store.create(CLAIM_KIND, name, value)
            else:
                await self._store.update(CLAIM_KIND, name, value, claim.version)
        except PlatformError as error:
            if error.code in _WRITE_CONFLICT_CODES:
                return False
            raise
        return True


def claim_name(service: ServiceSpec) -> str:
    """Returns the name of the claim on a service's address, port and transport."""
    address = ipaddress.ip_address(service.address).exploded
    digits = address.replace(":", "-").replace(".", "-")
    return f"{service.protocol.name.lower()}.{service.port}.{digits}"


def _holder(claim: StoredObject | None) -> str:
    return "" if claim is None else str(claim.value.get("holder", ""))


def _address_overlap(holder: str, service: ServiceSpec) -> ConfigurationError:
    detail = f"{service.address} port {service.port} belongs to service {holder}"
    return ConfigurationError(Code.CONFIG_ADDRESS_OVERLAP, detail)
