"""Tests of pearwell.platform.store against a simulated store."""

import asyncio
import threading
import time
from collections import deque
from zlib import compress

import pytest

from pearwell.errors import Code, PlatformError
from pearwell.http_message import encode_message
from pearwell.platform import store as module
from pearwell.platform.store import StoreClient
from pearwell.reactor import Reactor
from pearwell.standins.object_server import ObjectServer
from pearwell.url_text import quote
from tests.addresses import loopback_address
from tests.affinity.fakes import FakeWait, run

PORT = 20811
# Timeouts: one that even a busy machine does not reach, and one that a test waits for.
LONG_S, SHORT_S = 60.0, 0.1


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch):
    for name in ("CONNECT_TIMEOUT_S", "LIST_TIMEOUT_S"):
        monkeypatch.setattr(module, name, LONG_S)


def decode(body, **headers):
    """Decodes a response as the client does."""
    message = module.MessageReader().feed(encode_message("HTTP/1.1 200 OK", headers, body))
    return module._decode(message, "items")


def test_an_entry_with_invalid_utf8_does_not_affect_the_others():
    body = b'{"items":[{"meta":{"Name":"i-\xff\xfe"}},{"meta":{"Name":"i-2"}}],"AsOf":3}'
    response = decode(body)
    assert [item["meta"]["Name"] for item in response.items][1] == "i-2"
    assert (response.revision, response.more) == (3, False)
    assert quote(response.items[0]["meta"]["Name"]) == "i-%FF%FE"


@pytest.mark.parametrize(
    "extreme",
    [
        b"[" * 100_000 + b"]" * 100_000,
        b'{"a":' * 5_000 + b'"]}\\""' + b"}" * 5_000,
        b"9" * 5_000,
        b"-1" + b"0" * 5_000 + b".5e7",
    ],
    ids=["lists", "objects", "integer", "number"],
)
def test_an_entry_with_an_extreme_value_does_not_affect_the_others(extreme):
    """An entry of another writer that json can't read made every list fail."""
    items = b'{"meta":{"Name":"i-1"},"spec":{"a":%b,"b":"[{"}},{"meta":{"Name":"i-2"},"n":17}'
    response = decode(b'{"items":[' + items % extreme + b'],"AsOf":3}')
    assert [item["meta"]["Name"] for item in response.items] == ["i-1", "i-2"]
    assert (response.items[1]["n"], response.revision) == (17, 3)


@pytest.mark.parametrize(
    ("headers", "era"), [({}, 0), ({"Store-Era": "7"}, 7), ({"store-era": "12"}, 12)]
)
def test_the_era_of_the_store_is_read(headers, era):
    assert decode(b'{"items":[],"AsOf":3}', **headers).era == era


@pytest.mark.parametrize(
    ("told", "callers"),
    [
        ("", None),
        (',"Callers":0', 0),
        (',"Callers":112', 112),
        (',"Callers":-1', None),
        (',"Callers":true', None),
        (',"Callers":1.5', None),
        (',"Callers":"9"', None),
        (',"Callers":null', None),
        (',"Callers":1e300', None),
        (',"Callers":100001', None),
    ],
)
def test_the_callers_of_a_relay_are_read(told, callers):
    """A relay of an earlier release doesn't tell; the response is valid in each case."""
    response = decode(f'{{"items":[],"AsOf":3{told}}}'.encode())
    assert (response.callers, response.revision) == (callers, 3)


@pytest.mark.parametrize("text", ["", "x", "-1", "1.5", "9" * 21, "9" * 5_000])
def test_an_invalid_era_has_a_code(text):
    """One of thousands of digits ended the process."""
    with pytest.raises(PlatformError) as caught:
        decode(b'{"items":[],"AsOf":3}', **{"Store-Era": text})
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER


@pytest.mark.parametrize(
    "told",
    [
        b'"AsOf":-1',
        b'"AsOf":true',
        b'"AsOf":%b' % (b"9" * 4_300),
        b'"AsOf":3,"Era":-1',
        b'"AsOf":3,"Era":"x"',
        b'"AsOf":3,"Era":%b' % (b"9" * 4_300),
        b'"AsOf":3,"Era":%b' % (b"[" * 900 + b"]" * 900),
    ],
    ids=range(7),
)
def test_an_invalid_position_has_a_code(told):
    with pytest.raises(PlatformError) as caught:
        decode(b'{"items":[],%b}' % told)
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER


@pytest.mark.parametrize("key", ["GoodS", "CompleteS"])
@pytest.mark.parametrize("value", ["1e999", "-1e999", "NaN", "true", "9" * 4_300, "-" + "9" * 400])
def test_an_implausible_time_that_a_relay_tells_is_missing(key, value):
    """Adding an integer of hundreds of digits to a time ended the process."""
    response = decode(f'{{"items":[],"AsOf":3,"{key}":{value}}}'.encode())
    assert (response.healthy_s, response.complete_s) == (None, None)


def test_a_compressed_response_is_decoded():
    body = compress(b'{"items":[{"meta":{"Name":"i-2"}}],"AsOf":3}')
    assert len(decode(body, **{"Content-Encoding": "deflate"}).items) == 1


@pytest.mark.parametrize("body", [b"no zlib", compress(b"[" + b" " * module.MAX_BODY_BYTES)])
def test_an_invalid_or_too_long_compressed_response_has_a_code(body):
    with pytest.raises(PlatformError) as caught:
        decode(body, **{"Content-Encoding": "deflate"})
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"items":1,"AsOf":3}',
        b'{"items":[],"AsOf":"3"}',
        b'{"items":[]}',
        b"[" * 100_000,
    ],
)
def test_a_response_with_invalid_fields_has_a_code(body):
    with pytest.raises(PlatformError) as caught:
        decode(body)
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER


class StoreThread:
    """Runs the simulated store in a thread with its own event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.server = None
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def __enter__(self):
        self._thread.start()
        self.call(self._start())
        return self

    def __exit__(self, *_):
        self.call(self._stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()

    async def _start(self):
        self.server = ObjectServer()
        await self.server.start(loopback_address(), PORT)

    async def _stop(self):
        await self.server.stop()
        # Cancel calls that an unresponsive server never answers.
        waiting = asyncio.all_tasks() - {asyncio.current_task()}
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()


def run_query(query):
    """Runs a coroutine function with a client on a reactor; returns its result or error code."""
    found = []
    reactor = Reactor(time.monotonic, found.append)

    async def run():
        client = StoreClient(reactor, (loopback_address(), PORT))
        try:
            found.append(await query(client))
        except PlatformError as error:
            found.append(error.code)
        client.close()
        reactor.stop()

    reactor.spawn(run())
    reactor.run()
    [result] = found
    return result


def test_lists_return_pages_and_watches_return_events():
    async def query(client):
        first = await client.list("servers", "")
        rest = await client.list("servers", first.items[-1]["meta"]["Name"])
        watched = await client.watch("servers", (0, first.revision - 1), 0.0, LONG_S)
        return len(first.items), first.more, len(rest.items), rest.more, len(watched.items)

    with StoreThread() as store_thread:
        for number in range(60):
            store_thread.call(store_thread.server.write("servers", f"i-{number:02}", {"n": number}))
        assert run_query(query) == (50, True, 10, False, 1)


@pytest.mark.parametrize(
    "name", ["i-49 spare", "i-49&after=i-59", "i-49#%20", "i-49+", "i-49\r\nX: y", "i-49é"]
)
def test_any_name_is_a_cursor_of_a_list(name):
    """An unquoted name at the end of a page stopped the list of targets for good."""

    async def query(client):
        first = await client.list("servers", "")
        rest = await client.list("servers", first.items[-1]["meta"]["Name"])
        return [item["meta"]["Name"] for item in first.items[-1:] + rest.items]

    with StoreThread() as store_thread:
        for number in range(60):
            store_thread.call(store_thread.server.write("servers", f"i-{number:02}", {}))
        store_thread.call(store_thread.server.remove("servers", "i-49"))
        store_thread.call(store_thread.server.write("servers", name, {}))
        assert run_query(query) == [name, *(f"i-{number}" for number in range(50, 60))]


@pytest.mark.parametrize(
    ("fault", "value", "code"),
    [
        ("status", 503, Code.PLATFORM_UNAVAILABLE),
        ("status", 429, Code.PLATFORM_UNAVAILABLE),
        ("status", 410, Code.PLATFORM_WATCH_EXPIRED),
        ("status", 500, Code.PLATFORM_BAD_ANSWER),
        ("silent", True, Code.PLATFORM_TIMEOUT),
        ("refused", frozenset({"127.0.0.1", loopback_address()}), Code.PLATFORM_UNAVAILABLE),
    ],
)
def test_faults_of_the_store_have_codes(fault, value, code, monkeypatch):
    if code is Code.PLATFORM_TIMEOUT:
        monkeypatch.setattr(module, "LIST_TIMEOUT_S", SHORT_S)
    with StoreThread() as store_thread:
        setattr(store_thread.server.faults, fault, value)
        assert run_query(lambda client: client.list("servers", "")) == code


def test_a_watch_expires_when_the_history_is_compacted():
    with StoreThread() as store_thread:
        store_thread.call(store_thread.server.write("servers", "i-1", {}))
        store_thread.server.compact()
        assert (
            run_query(lambda client: client.watch("servers", (0, 1), 0.1, LONG_S))
            == Code.PLATFORM_WATCH_EXPIRED
        )


def test_a_restored_store_refuses_later_revisions_and_tells_its_era():
    async def query(client):
        listed = await client.list("servers", "")
        try:
            await client.watch("servers", (1, 2), 0.1, LONG_S)
        except PlatformError as error:
            return listed.revision, listed.era, error.code
        return None

    with StoreThread() as store_thread:
        server = store_thread.server
        copy = server.history.copy()
        store_thread.call(server.write("servers", "i-1", {}))
        store_thread.call(server.restore(copy))
        assert run_query(query) == (1, 2, Code.PLATFORM_WATCH_EXPIRED)


def test_a_refused_connection_has_a_code():
    assert run_query(lambda client: client.list("servers", "")) == Code.PLATFORM_UNAVAILABLE


def test_a_call_that_waits_is_interrupted():
    """A watch at a relay that stands still would go on for two seconds."""

    async def query(client):
        client._reactor.spawn(interrupt(client))
        return await client.list("servers", "")

    async def interrupt(client):
        while not client.calls:
            await client._reactor.sleep(0.001)
        client.interrupt()

    with StoreThread() as store_thread:
        store_thread.server.faults.silent = True
        assert run_query(query) == Code.PLATFORM_INTERRUPTED


@pytest.mark.parametrize(
    ("told", "complete_s"),
    [
        ("", None),
        (',"CompleteS":-0.25', -0.25),
        (',"CompleteS":"1"', None),
        (',"CompleteS":1e9', None),
    ],
)
def test_until_when_a_relay_knows_all_changes_is_read(told, complete_s):
    assert decode(f'{{"items":[],"AsOf":3{told}}}'.encode()).complete_s == complete_s


@pytest.mark.parametrize(
    ("told", "level_s"),
    [
        ({}, None),
        ({"Level-S": "-0.250"}, -0.25),
        ({"level-s": "1.5"}, 1.5),
        *(({"Level-S": odd}, None) for odd in ("", "x", "nan", "inf", "-inf", "1e9", "9" * 5_000)),
    ],
)
def test_when_a_relay_was_level_with_the_store_is_read(told, level_s):
    assert decode(b'{"items":[],"AsOf":3}', **told).level_s == level_s


@pytest.mark.parametrize(("max_idle_s", "connections"), [(LONG_S, 1), (-1.0, 2)])
def test_an_idle_connection_is_not_used_again(max_idle_s, connections, monkeypatch):
    """The other side may have closed it, or it may have gone silent, which costs a timeout."""
    monkeypatch.setattr(module, "MAX_IDLE_S", max_idle_s)
    found = set()

    async def query(client):
        for _ in range(2):
            await client.list("servers", "")
            found.add(client._sock)

    with StoreThread():
        run_query(query)
    assert len(found) == connections


class SlowLink:
    """A reactor and a socket at once: parts of a response that come in after some time each."""

    def __init__(self, *parts):
        self._time = 100.0
        self._parts = deque(parts)

    def now(self):
        return self._time

    def readable(self, sock, timeout_s, trigger):
        after_s = self._parts[0][0]
        self._time += min(after_s, timeout_s)
        return FakeWait(after_s <= timeout_s)

    def send(self, data):
        return len(data)

    def recv(self, size):
        return self._parts.popleft()[1]

    def close(self):
        pass


LONG_RESPONSE = encode_message("HTTP/1.1 200 OK", {}, b'{"items":[],"AsOf":3}' + b" " * 10_000)
PART = len(LONG_RESPONSE) // 10 + 1


@pytest.mark.parametrize(
    ("first_s", "pause_s", "is_read"),
    [(0.1, 0.1, True), (0.2, 0.3, True), (1.7, 0.2, True), (1.9, 0.0, False), (0.1, 0.7, False)],
)
def test_a_response_that_keeps_coming_in_is_read_to_its_end(first_s, pause_s, is_read, monkeypatch):
    """An entry of 1 MB beside others takes over 1.8 s on a slow link: no list ever succeeded."""
    monkeypatch.setattr(module, "LIST_TIMEOUT_S", 1.8)
    parts = [LONG_RESPONSE[start : start + PART] for start in range(0, len(LONG_RESPONSE), PART)]
    link = SlowLink(*((pause_s if number else first_s, part) for number, part in enumerate(parts)))
    client = StoreClient(link, ("127.0.0.1", 1))
    client._sock, client._used_at = link, link.now()
    if is_read:
        assert run(client.list("servers", "")).revision == 3
        return
    with pytest.raises(PlatformError) as caught:
        run(client.list("servers", ""))
    assert caught.value.code is Code.PLATFORM_TIMEOUT


def test_a_response_that_never_ends_is_given_up(monkeypatch):
    monkeypatch.setattr(module, "LIST_TIMEOUT_S", 1.8)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
    link = SlowLink((0.1, head), *((0.5, b"x") for _ in range(100)))
    client = StoreClient(link, ("127.0.0.1", 1))
    client._sock, client._used_at = link, link.now()
    with pytest.raises(PlatformError) as caught:
        run(client.list("servers", ""))
    assert caught.value.code is Code.PLATFORM_TIMEOUT
    assert link.now() == pytest.approx(100.0 + 1.8 + module.MAX_TRANSFER_S)
