"""Tests of pearwell.http_message."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearwell.errors import Code, PlatformError
from pearwell.http_message import MAX_BODY_BYTES, MAX_HEADER_BYTES, MessageReader, encode_message

CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n"
)


def read(*parts):
    reader = MessageReader()
    found = [reader.feed(part) for part in parts]
    assert all(message is None for message in found[:-1])
    return found[-1]


@given(st.binary(max_size=300), st.integers(1, 40))
def test_a_message_may_be_split_anywhere(body, size):
    data = encode_message("HTTP/1.1 200 OK", {"Content-Type": "x"}, body)
    message = read(*[data[start : start + size] for start in range(0, len(data), size)])
    assert (message.status, message.body) == (200, body)
    assert message.headers["content-type"] == "x"


@pytest.mark.parametrize("cut", range(1, len(CHUNKED)))
def test_chunks_may_be_split_anywhere(cut):
    assert read(CHUNKED[:cut], CHUNKED[cut:]).body == b"abcdefg"


def test_consecutive_messages_are_read():
    reader = MessageReader()
    data = encode_message("HTTP/1.1 200 OK", {}, b"one")
    assert reader.feed(data).body == b"one"
    assert reader.feed(data).body == b"one"


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        f"HTTP/1.1 200 OK\r\nContent-Length: {MAX_BODY_BYTES + 1}\r\n\r\n".encode(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n" % (b"1" * 5_000),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%b\r\n" % (b"f" * 5_000),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1" * 5_000,
        b"x" * (MAX_HEADER_BYTES + 1),
    ],
)
def test_invalid_messages_are_refused_with_a_code(data):
    with pytest.raises(PlatformError) as caught:
        read(data)
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER


@given(st.binary(max_size=200))
def test_any_bytes_are_parsed_or_refused_with_a_code(data):
    try:
        message = MessageReader().feed(data)
        if message is not None:
            assert message.status
    except PlatformError as error:
        assert error.code is Code.PLATFORM_BAD_ANSWER


def test_a_length_of_thousands_of_digits_does_not_end_the_process():
    """Its text can't be made, so that one request to any port of an instance ended it."""
    with pytest.raises(PlatformError):
        read(b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"f" * 9_000 + b"\r\n")


def test_many_small_chunks_are_counted_once(monkeypatch):
    """The lengths of all chunks were added up again with each of them."""
    count = 0

    def count_calls(*arguments):
        nonlocal count
        count += 1
        return len(*arguments)

    monkeypatch.setattr("pearwell.http_message.len", count_calls, raising=False)
    head, end = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0\r\n\r\n"
    assert read(head + b"1\r\nx\r\n" * 1_000 + end).body == b"x" * 1_000
    assert count <= 10_000


def test_the_chunks_of_a_message_are_limited_together():
    reader = MessageReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n" % MAX_BODY_BYTES + b"x" * MAX_BODY_BYTES + b"\r\n"
    assert reader.feed(chunk) is None
    with pytest.raises(PlatformError):
        reader.feed(b"1\r\nx\r\n")
