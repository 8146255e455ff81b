"""HTTP/1.1 messages: a reader for requests and answers, free of I/O.

The known parsers take 15 ms (httptools) to 38 ms (h11) of processor time to import, most of it for
typing, which is too long for an instance that forwards nothing meanwhile.
"""

from pearwell.errors import Code, PlatformError

__all__ = ["MAX_BODY_BYTES", "Answer", "Message", "MessageReader", "encode_message"]

# A page of a list is about 1 MB at most (platform's page on its store); room for one object more.
MAX_BODY_BYTES = 4_000_000
MAX_HEAD_BYTES = 16_384
_END = b"\r\n\r\n"

# Status and body.
Answer = tuple[int, bytes]


class Message:
    """A request or an answer.

    Attributes:
        first: The three words of the first line; the second is a path or a status.
        headers: Fields by name in lower case.
        body: The whole body.
    """

    __slots__ = ("body", "first", "headers")

    def __init__(self, first: list[str], headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer; raises PLATFORM_BAD_ANSWER if there is none."""
        word = self.first[1]
        if not (word.isdecimal() and len(word) == 3):
            raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"status {word!r}")
        return int(word)


class MessageReader:
    """Takes bytes as they come and gives messages.

    Every method raises PLATFORM_BAD_ANSWER for bytes that are no HTTP message or exceed a limit.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head: tuple[list[str], dict[str, str]] | None = None
        self._chunks: list[bytes] = []

    def feed(self, data: bytes) -> Message | None:
        """Takes bytes; returns a message once it is complete."""
        self._buffer += data
        if self._head is None:
            self._head = self._read_head()
            if self._head is None:
                return None
        body = self._read_body(self._head[1])
        if body is None:
            return None
        first, headers = self._head
        self._head, self._chunks = None, []
        return Message(first, headers, body)

    def _read_head(self) -> tuple[list[str], dict[str, str]] | None:
        end = self._buffer.find(_END)
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise PlatformError(Code.PLATFORM_BAD_ANSWER, "the head is too long")
            return None
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + len(_END)]
        first = lines[0].split(" ", 2)
        if len(first) < 2:
            raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"first line {lines[0][:80]!r}")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    def _read_body(self, headers: dict[str, str]) -> bytes | None:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            return self._read_chunks()
        length = _number(headers.get("content-length", "0"), 10)
        if len(self._buffer) < length:
            return None
        body = bytes(self._buffer[:length])
        del self._buffer[:length]
        return body

    def _read_chunks(self) -> bytes | None:
        while True:
            end = self._buffer.find(b"\r\n")
            if end < 0:
                return None
            size = _number(self._buffer[:end].decode("latin-1").partition(";")[0].strip(), 16)
            after = end + 2 + size + 2
            if len(self._buffer) < after:
                return None
            self._chunks.append(bytes(self._buffer[end + 2 : after - 2]))
            del self._buffer[:after]
            if not size:
                return b"".join(self._chunks)
            if sum(map(len, self._chunks)) > MAX_BODY_BYTES:
                raise PlatformError(Code.PLATFORM_BAD_ANSWER, "the body is too long")


def encode_message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with its length.

    Args:
        first: First line without its end.
        headers: Fields but for the length.
        body: The body.
    """
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


def _number(text: str, base: int) -> int:
    try:
        number = int(text, base)
    except ValueError as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"length {text[:20]!r}") from error
    if not 0 <= number <= MAX_BODY_BYTES:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"length {number}")
    return number
