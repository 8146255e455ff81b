"""Encoding of placements as gossip entries and as platform objects."""

import base64
import binascii
import zlib
from typing import Any

import msgspec

from pearwell.errors import Code, PeerError, PlatformError
from pearwell.messages import Entry, EntryVersion
from pearwell.model.placement import Placement
from pearwell.object_store import StoredObject, Value

__all__ = [
    "PLACEMENT_DOMAIN",
    "PLACEMENT_KIND",
    "decode_entry",
    "decode_stored",
    "encode_entry",
    "encode_value",
    "entry_key",
    "object_name",
]

PLACEMENT_DOMAIN = "placement"
PLACEMENT_KIND = "placement"
MAX_DECODED_BYTES = 4_000_000

_DECODER = msgspec.msgpack.Decoder(Placement)


def entry_key(group: str) -> str:
    """Returns the gossip key of a group's placement."""
    return f"{PLACEMENT_DOMAIN}/{group}"


def object_name(group: str, zone: str) -> str:
    """Returns the name of the platform object of a group's placement in a zone."""
    return f"{group}.{zone}"


def encode_entry(placement: Placement) -> Entry:
    """Encodes a placement as a gossip entry."""
    generation = placement.generation
    version = EntryVersion(generation.counter, generation.instance)
    return Entry(entry_key(placement.group), version, _pack(placement))


def decode_entry(entry: Entry) -> Placement:
    """Decodes the placement in a gossip entry.

    Raises:
        PeerError: PEER_BAD_MESSAGE if it is malformed or doesn't match the key or version.
    """
    try:
        placement = _unpack(entry.payload)
    except (msgspec.DecodeError, zlib.error, ValueError) as error:
        raise PeerError(Code.PEER_BAD_MESSAGE, f"{entry.key}: {error}") from error
    generation = placement.generation
    version = EntryVersion(generation.counter, generation.instance)
    if (entry_key(placement.group), version) != (entry.key, entry.version):
        raise PeerError(
            Code.PEER_BAD_MESSAGE, f"{entry.key}: placement doesn't match the key and version"
        )
    return placement


def encode_value(placement: Placement) -> dict[str, Any]:
    """Encodes a placement as the JSON value of a platform object."""
    return {
        "group": placement.group,
        "zone": placement.zone,
        "counter": placement.generation.counter,
        "instance": placement.generation.instance,
        "phase": placement.phase.name.lower(),
        "placement": base64.b64encode(_pack(placement)).decode(),
    }


def decode_stored(stored: StoredObject) -> Placement:
    """Decodes the placement in a platform object.

    Raises:
        PlatformError: PLATFORM_BAD_ANSWER if it is malformed.
    """
    try:
        return _unpack(base64.b64decode(_payload(stored.value), validate=True))
    except (msgspec.DecodeError, zlib.error, binascii.Error, ValueError) as error:
        detail = f"{stored.kind}/{stored.name}: {error}"
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail) from error


def _payload(value: Value) -> str:
    payload = value.get("placement")
    if not isinstance(payload, str):
        raise ValueError("field 'placement' is missing or not a string")
    return payload


def _pack(placement: Placement) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(placement))


def _unpack(payload: bytes) -> Placement:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(payload, MAX_DECODED_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed placement is truncated or too large")
    return _DECODER.decode(content)
