"""HTTP/1.1 client for lists and watches of the platform's store, one connection per kind."""

import json
import socket
import zlib

from pearwell.affinity.cache import Position
from pearwell.affinity.sync import StoreResponse
from pearwell.errors import Code, PlatformError
from pearwell.histogram import Histogram
from pearwell.http_message import MAX_BODY_BYTES, Message, MessageReader, encode_message
from pearwell.reactor import Reactor, Trigger

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

__all__ = ["StoreClient", "connect", "finish_connect"]

# Timeouts. A connection is established within a few milliseconds; responses of a slow store take up
# to 350 ms. A list of 1 MB takes 1.6 s at 5 Mbit/s.
CONNECT_TIMEOUT_S = 0.6
LIST_TIMEOUT_S = 1.8
# While a response is coming in, the longest pause between two parts of it, and the time by which
# its end may be later: one entry of 1 MB makes a page larger than 1 MB.
PART_TIMEOUT_S = 0.6
MAX_TRANSFER_S = 2.0
# TCP keepalive: idle time, interval and number of probes. A dead connection is detected in 3 s,
# within the time in which a configuration must be applied.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time after which an idle connection is not used again: relays close theirs after 10 s, and one
# that went silent would cost a timeout. Between two watches, a connection is idle for at most 1 s.
MAX_IDLE_S = 5.0
RECEIVE_BYTES = 262_144
# Counts how often the store was restored from a copy; in all its responses.
ERA_HEADER = "store-era"
# When a relay was level with the store, in its responses.
LEVEL_HEADER = "level-s"
# Longest time in seconds that a response may claim to be complete after its call was received.
MAX_WATCH_S = 30.0
# Largest plausible time in seconds that a relay tells.
MAX_TOLD_S = 1e9
# Largest plausible number of callers of a relay.
MAX_CALLERS = 100_000
# Most digits of a revision or an era.
MAX_DIGITS = 20
# Most values (commas and opening brackets) of a response that is decoded at once.
MAX_VALUES = 100_000
# Longest part of the reason for an invalid response that is logged.
MAX_DETAIL_CHARS = 200

_CODES = {
    404: Code.PLATFORM_NOT_FOUND,
    409: Code.PLATFORM_CONFLICT,
    410: Code.PLATFORM_WATCH_EXPIRED,
    429: Code.PLATFORM_UNAVAILABLE,
    503: Code.PLATFORM_UNAVAILABLE,
}


class StoreClient:
    """A connection to the store, or to a relay, which responds in the same format.

    Every method raises PlatformError; PLATFORM_WATCH_EXPIRED if a watch can't be resumed.

    Args:
        reactor: Event loop.
        address: Address of the store or relay.
        list_times: Histogram of the duration of lists in seconds.
        is_relay: Whether the address is a relay's, which needs the era of a position.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: tuple[str, int],
        list_times: Histogram | None = None,
        is_relay: bool = False,
    ) -> None:
        self._is_relay = is_relay
        self._reactor = reactor
        self._address = address
        self._list_times = list_times
        self._sock: socket.socket | None = None
        self._reader = MessageReader()
        self._used_at = float("-inf")
        self._calls = 0
        self._interruption = Trigger(reactor)
        self._interrupted = False

    @property
    def calls(self) -> int:
        """Number of calls sent so far."""
        return self._calls

    async def list(self, kind: str, after: str) -> StoreResponse:
        """Returns one page of the objects of a kind after a name."""
        query = ""
        if after:
            # Imported only for lists of several pages, to keep the start fast.
            from pearwell.url_text import quote

            query = f"?after={quote(after)}"
        started = self._reactor.now()
        response = await self._call(f"/objects/{kind}{query}", LIST_TIMEOUT_S)
        if self._list_times is not None:
            self._list_times.observe(self._reactor.now() - started)
        return _decode(response, "items")

    async def watch(
        self, kind: str, position: Position, wait_s: float, response_s: float
    ) -> StoreResponse:
        """Returns the events after a position once there is one, or none after the wait.

        The response has to come within a further time, in seconds.
        """
        era, revision = position
        query = f"?Watch={revision}&WaitMs={int(wait_s * 1000)}"
        if self._is_relay:
            query += f"&Era={era}"
        response = await self._call(f"/objects/{kind}{query}", wait_s + response_s)
        return _decode(response, "events")

    def set_address(self, address: tuple[str, int]) -> None:
        """Changes the address for further connections."""
        self._address = address

    def interrupt(self) -> None:
        """Ends the call that is waiting for its response, with PLATFORM_INTERRUPTED."""
        self._interrupted = True
        self._interruption.fire()

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        self._reader = MessageReader()

    async def _call(self, path: str, timeout_s: float) -> Message:
        try:
            response = await self._exchange(path, timeout_s)
        except OSError as error:
            self.close()
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, str(error)) from error
        except PlatformError:
            self.close()
            raise
        if response.headers.get("connection", "").lower() == "close":
            self.close()
        if response.status != 200:
            code = _CODES.get(response.status, Code.PLATFORM_BAD_ANSWER)
            raise PlatformError(code, f"status {response.status}")
        return response

    async def _exchange(self, path: str, timeout_s: float) -> Message:
        if self._reactor.now() - self._used_at > MAX_IDLE_S:
            self.close()
        sock = self._sock or await self._connect()
        host = f"{self._address[0]}:{self._address[1]}"
        self._calls += 1
        # Never partial: a request is far smaller than the send buffer of an idle connection.
        sock.send(encode_message(f"GET {path} HTTP/1.1", {"Host": host}))
        deadline = self._reactor.now() + timeout_s
        last_deadline = deadline + MAX_TRANSFER_S
        self._interrupted = False
        while True:
            left = deadline - self._reactor.now()
            is_ready = left > 0 and await self._reactor.readable(sock, left, self._interruption)
            if self._interrupted:
                raise PlatformError(Code.PLATFORM_INTERRUPTED, "interrupted")
            if not is_ready:
                raise PlatformError(Code.PLATFORM_TIMEOUT, f"no response within {timeout_s:.1f} s")
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                raise PlatformError(Code.PLATFORM_UNAVAILABLE, "connection closed by peer")
            response = self._reader.feed(data)
            now = self._reactor.now()
            if response is not None:
                self._used_at = now
                return response
            deadline = min(max(deadline, now + PART_TIMEOUT_S), last_deadline)

    async def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock = sock
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        if not await connect(self._reactor, sock, self._address, CONNECT_TIMEOUT_S):
            raise PlatformError(Code.PLATFORM_TIMEOUT, "connection attempt timed out")
        return sock


async def connect(
    reactor: Reactor, sock: socket.socket, address: tuple[str, int], timeout_s: float
) -> bool:
    """Connects a non-blocking socket; returns False on a timeout.

    Raises:
        OSError: If the connection is refused or fails.
    """
    try:
        sock.connect(address)
        return True
    except BlockingIOError:
        return await finish_connect(reactor, sock, timeout_s)


async def finish_connect(reactor: Reactor, sock: socket.socket, timeout_s: float) -> bool:
    """Waits on for a connection after a timeout of connect(), with the same results."""
    if not await reactor.writable(sock, timeout_s):
        return False
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, "connection failed")
    return True


def _decode(response: Message, key: str) -> StoreResponse:
    try:
        payload = _parse(_body(response), key)
        items, revision = payload[key], payload["AsOf"]
    except (KeyError, RecursionError, TypeError, ValueError, zlib.error) as error:
        detail = f"invalid response: {error!r}"[:MAX_DETAIL_CHARS]
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail) from error
    if not isinstance(items, list) or not _is_count(revision):
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, "response with fields of the wrong type")
    zone = payload.get("Zone")
    return StoreResponse(
        items,
        revision,
        payload.get("HasMore") is True,
        _seconds(payload, "GoodS", float("inf")),
        zone if isinstance(zone, str) else "",
        _era(response, payload),
        _callers(payload),
        _seconds(payload, "CompleteS", MAX_WATCH_S),
        _level_s(response),
    )


def _parse(body: bytes, key: str) -> "Any":
    """Returns the value of a JSON text; of entries that can't be read only their names."""
    if body.count(b",") + body.count(b"[") + body.count(b"{") < MAX_VALUES:
        try:
            # Invalid UTF-8 from another writer affects only the entry that contains it; its name
            # can still be sent back as the cursor of a list.
            return json.loads(body.decode("utf-8", "surrogateescape"))
        except (RecursionError, ValueError):
            # Read entry by entry below.
            pass
    # Imported only where it is needed, to keep the start fast.
    from pearwell.platform.extreme_values import read_entries

    return read_entries(body, key)


def _era(response: Message, payload: dict[str, object]) -> int:
    """Returns the era of the store, which a relay passes on in the body; 0 if it is missing."""
    text = response.headers.get(ERA_HEADER)
    if text is None:
        era = payload.get("Era", 0)
    else:
        era = int(text) if text.isdecimal() and len(text) <= MAX_DIGITS else None
    if not _is_count(era):
        shown = type(era).__name__ if text is None else repr(text[:20])
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"invalid era {shown}")
    return era  # type: ignore[return-value]


def _is_count(value: object) -> bool:
    return type(value) is int and 0 <= value < 10**MAX_DIGITS


def _seconds(payload: dict[str, object], key: str, longest: float) -> float | None:
    """Returns a time that a relay tells; None if it is missing or invalid."""
    value = payload.get(key)
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    return value if -MAX_TOLD_S <= value <= min(longest, MAX_TOLD_S) else None


def _level_s(response: Message) -> float | None:
    """Returns when a relay was level with the store; None if that is missing or invalid."""
    try:
        level_s = float(response.headers.get(LEVEL_HEADER, ""))
    except ValueError:
        return None
    return _seconds({"": level_s}, "", MAX_WATCH_S)


def _callers(payload: dict[str, object]) -> int | None:
    """Returns the number of callers that a relay tells; None if it is missing or invalid."""
    callers = payload.get("Callers")
    is_valid = type(callers) is int and 0 <= callers <= MAX_CALLERS
    return callers if is_valid else None  # type: ignore[return-value]


def _body(response: Message) -> bytes:
    """Returns the body of a response; relays compress theirs."""
    if response.headers.get("content-encoding") != "deflate":
        return response.body
    inflater = zlib.decompressobj()
    body = inflater.decompress(response.body, MAX_BODY_BYTES)
    if inflater.unconsumed_tail:
        raise ValueError("decompressed body is too long")
    return body
