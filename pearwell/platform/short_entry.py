"""What matters of a target's entry that is too large for a relay to forward as it is."""

from collections.abc import Mapping

from pearwell.platform.objects import is_number, is_text, object_name

__all__ = ["shorten_entry"]

# Fields of an entry that are read.
KEYS = (
    "Service",
    "Address",
    "Zone",
    "Version",
    "State",
    "WarmupLeftMs",
    "Concurrency",
    "born",
    "Sequence",
)


def shorten_entry(item: object) -> object:
    """Returns an entry without what isn't read of it."""
    name = object_name(item)
    spec = item.get("spec") if isinstance(item, Mapping) else None
    if not is_text(name) or not isinstance(spec, Mapping):
        # Names no target, whatever else it holds.
        return {"meta": {"Name": name if is_text(name) else ""}}
    kept = {key: _shorten_value(spec[key]) for key in KEYS if key in spec}
    return {"meta": {"Name": name}, "spec": kept}


def _shorten_value(value: object) -> object:
    """Returns a value, or None if it is invalid whatever its key."""
    return value if is_text(value) or is_number(value) else None
