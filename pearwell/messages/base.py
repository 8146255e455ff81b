"""Message base class and its MessagePack encoding."""

from typing import Any, TypeVar, Union

import msgspec

from pearwell.errors import Code, PeerError

__all__ = ["Message", "decode", "encode", "wire_message"]

_M = TypeVar("_M", bound="type[Message]")
_encoder = msgspec.msgpack.Encoder()
_wire_types: list[type["Message"]] = []
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An immutable typed message.

    New fields go last and have defaults, as fields are encoded by position.
    """


def wire_message(cls: _M) -> _M:
    """Registers a message type that may be sent between instances."""
    _wire_types.append(cls)
    return cls


def encode(message: Message) -> bytes:
    """Encodes a message as MessagePack."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Decodes and validates a message of any registered type.

    Args:
        payload: A MessagePack value as returned by encode.

    Returns:
        The message.

    Raises:
        PeerError: PEER_BAD_MESSAGE if the payload is malformed or of unknown type.
    """
    try:
        return _decoder().decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PeerError(Code.PEER_BAD_MESSAGE, str(error)) from error


def _decoder() -> msgspec.msgpack.Decoder[Any]:
    count = len(_wire_types)
    if count not in _decoders:
        _decoders[count] = msgspec.msgpack.Decoder(Union[tuple(_wire_types)])  # noqa: UP007
    return _decoders[count]
