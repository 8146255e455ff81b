"""Object store wrapper with retries: backoff, budget, deadline and recovery of lost responses."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from pearwell.clock import Clock
from pearwell.errors import Code, PlatformError
from pearwell.object_store.base import (
    PAGE_SIZE,
    ObjectList,
    ObjectStore,
    StoredObject,
    Value,
    WatchEvent,
    collect_pages,
    copy_value,
)

__all__ = ["RetryBudget", "RetryPolicy", "RetryingObjectStore"]

_T = TypeVar("_T")

_RETRYABLE = frozenset({Code.PLATFORM_UNAVAILABLE, Code.PLATFORM_TIMEOUT})
# Errors that an earlier attempt of the same write may have caused by taking effect.
_OWN_WRITE_CODES = frozenset(
    {Code.PLATFORM_CONFLICT, Code.PLATFORM_ALREADY_EXISTS, Code.PLATFORM_NOT_FOUND}
)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Timeouts and backoff of one call including its retries.

    The attempt timeout must be shorter than the deadline.

    Attributes:
        attempt_timeout_s: Timeout of one attempt.
        deadline_s: Timeout of the whole call.
        first_backoff_s: Upper bound of the first backoff; it doubles with each retry.
        max_backoff_s: Upper bound of every backoff.
    """

    attempt_timeout_s: float = 1.5
    deadline_s: float = 6.0
    first_backoff_s: float = 0.05
    max_backoff_s: float = 1.0

    def __post_init__(self) -> None:
        if not 0 < self.attempt_timeout_s < self.deadline_s:
            raise ValueError("attempt_timeout_s must be positive and below deadline_s")

    def backoff_s(self, retry: int, rng: random.Random) -> float:
        """Returns the backoff in seconds before a retry, counted from 0, with full jitter."""
        bound = min(self.max_backoff_s, self.first_backoff_s * 2 ** min(retry, 30))
        return rng.uniform(0, bound)


class RetryBudget:
    """Token bucket that limits retries to a share of successful calls.

    It prevents a surge of retries after an outage.

    Args:
        capacity: Initial and maximum number of tokens; a retry takes one.
        tokens_per_success: Tokens added by a successful call.
    """

    def __init__(self, capacity: float = 20.0, tokens_per_success: float = 0.2) -> None:
        self._capacity = capacity
        self._tokens_per_success = tokens_per_success
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Remaining retries."""
        return self._tokens

    def deposit(self) -> None:
        """Adds the tokens of a successful call, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + self._tokens_per_success)

    def withdraw(self) -> bool:
        """Takes a token for one retry; returns False if less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryingObjectStore:
    """An ObjectStore that retries calls and reads back writes whose response was lost.

    A write whose response was lost may have taken effect, in which case its own effect makes the
    retry fail. The object is then read back: if it holds the written value, the write succeeded. A
    value must therefore be unique to its write, which an idempotency key in it ensures.

    Args:
        inner: The wrapped store.
        clock: Source of monotonic time for the deadline.
        rng: Source of backoff jitter.
        policy: Timeouts and backoff.
        budget: Retry budget, shared by all calls.
    """

    def __init__(
        self,
        inner: ObjectStore,
        clock: Clock,
        rng: random.Random,
        policy: RetryPolicy | None = None,
        budget: RetryBudget | None = None,
    ) -> None:
        self._inner = inner
        self._clock = clock
        self._rng = rng
        self._policy = policy or RetryPolicy()
        self._budget = budget or RetryBudget()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; raises PLATFORM_NOT_FOUND if there is none."""
        return await self._call(lambda: self._inner.get(kind, name))

    async def list(self, kind: str, *, limit: int = 0, token: str = "") -> ObjectList:
        """Returns the objects of a kind, or one page; the deadline applies to each page."""

        def page(size: int, start: str) -> Awaitable[ObjectList]:
            return self._call(lambda: self._inner.list(kind, limit=size, token=start))

        if limit:
            return await page(limit, token)
        return await collect_pages(lambda start: page(PAGE_SIZE, start or token))

    async def create(self, kind: str, name: str, value: Value) -> StoredObject:
        """Creates an object; raises PLATFORM_ALREADY_EXISTS if there is another one."""
        return await self._call(
            lambda: self._inner.create(kind, name, value),
            lambda error: self._read_back(kind, name, value, error),
        )

    async def update(
        self, kind: str, name: str, value: Value, expected_version: int
    ) -> StoredObject:
        """Replaces an object; raises PLATFORM_CONFLICT unless it has the expected version."""
        return await self._call(
            lambda: self._inner.update(kind, name, value, expected_version),
            lambda error: self._read_back(kind, name, value, error),
        )

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Removes an object; raises PLATFORM_CONFLICT unless it has the expected version."""
        await self._call(
            lambda: self._inner.delete(kind, name, expected_version),
            self._resolve_delete,
        )

    def watch(self, kind: str, version: int) -> AsyncIterator[WatchEvent]:
        """Yields events without retries; the caller resumes a watch that ends."""
        return self._inner.watch(kind, version)

    async def _call(
        self,
        operation: Callable[[], Awaitable[_T]],
        resolve: Callable[[PlatformError], Awaitable[_T]] | None = None,
    ) -> _T:
        deadline = self._clock.now() + self._policy.deadline_s
        retry = 0
        while True:
            try:
                result = await self._attempt(operation, deadline)
            except PlatformError as error:
                if error.code in _RETRYABLE:
                    await self._back_off(error, retry, deadline)
                elif retry and resolve is not None and error.code in _OWN_WRITE_CODES:
                    return await resolve(error)
                else:
                    raise
            else:
                self._budget.deposit()
                return result
            retry += 1

    async def _attempt(self, operation: Callable[[], Awaitable[_T]], deadline: float) -> _T:
        remaining = max(0.0, deadline - self._clock.now())
        try:
            async with asyncio.timeout(min(self._policy.attempt_timeout_s, remaining)):
                return await operation()
        except TimeoutError as error:
            raise PlatformError(Code.PLATFORM_TIMEOUT, "attempt timed out") from error

    async def _back_off(self, error: PlatformError, retry: int, deadline: float) -> None:
        backoff = self._policy.backoff_s(retry, self._rng)
        if self._clock.now() + backoff >= deadline:
            raise error
        if not self._budget.withdraw():
            raise PlatformError(Code.PLATFORM_RETRY_BUDGET, error.detail) from error
        await asyncio.sleep(backoff)

    async def _read_back(
        self, kind: str, name: str, value: Value, error: PlatformError
    ) -> StoredObject:
        try:
            stored = await self.get(kind, name)
        except PlatformError as read_error:
            if read_error.code is Code.PLATFORM_NOT_FOUND:
                raise error from read_error
            raise
        if stored.value == copy_value(value):
            return stored
        raise error

    async def _resolve_delete(self, error: PlatformError) -> None:
        if error.code is not Code.PLATFORM_NOT_FOUND:
            raise error
