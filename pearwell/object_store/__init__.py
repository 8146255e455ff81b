"""Object store: the platform's object API, an in-memory implementation and a retrying wrapper."""

from pearwell.object_store.base import (
    MAX_VALUE_BYTES,
    PAGE_SIZE,
    ObjectList,
    ObjectStore,
    StoredObject,
    Value,
    WatchEvent,
    WatchEventType,
    check_size,
    collect_pages,
    compose_version,
    copy_value,
    split_version,
)
from pearwell.object_store.memory import (
    Fault,
    FaultSwitches,
    MemoryObjectStore,
    Sleep,
    StoreCopy,
)
from pearwell.object_store.retrying import RetryBudget, RetryingObjectStore, RetryPolicy

__all__ = [
    "MAX_VALUE_BYTES",
    "PAGE_SIZE",
    "Fault",
    "FaultSwitches",
    "MemoryObjectStore",
    "ObjectList",
    "ObjectStore",
    "RetryBudget",
    "RetryPolicy",
    "RetryingObjectStore",
    "Sleep",
    "StoreCopy",
    "StoredObject",
    "Value",
    "WatchEvent",
    "WatchEventType",
    "check_size",
    "collect_pages",
    "compose_version",
    "copy_value",
    "split_version",
]
