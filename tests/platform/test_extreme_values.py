"""Tests of pearwell.platform.extreme_values: one odd entry among those of a response."""

import json
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearwell.errors import PlatformError
from pearwell.http_message import MessageReader, encode_message
from pearwell.platform import extreme_values, store
from pearwell.platform.extreme_values import MAX_VALUES, read_entries

# Levels of lists and objects with keys and commas between.
MIXED = 60_000
ODD = {
    "100 levels": b'{"a":[0,' * 50 + b"0" + b"]}" * 50,
    "1000 levels": b'{"a":[0,' * 500 + b"0" + b"]}" * 500,
    "120,000 levels": b'{"a":[0,' * MIXED + b"0" + b"]}" * MIXED,
    "500,000 levels": b"[" * 500_000 + b"]" * 500_000,
    "many lists": b"[" + b"[0]," * MAX_VALUES + b"0]",
    "many empty lists": b"[" + b"[]," * MAX_VALUES + b"0]",
    "many numbers": b"[" + b"1," * MAX_VALUES + b"0]",
    "4300 digits": b"9" * 4_300,
    "4301 digits": b"9" * 4_301,
    "100,000 digits": b"-" + b"9" * 100_000,
    "4301 digits in a list of many": b"[" + b"9" * 4_301 + b",[0]" * 50_000 + b"]",
    "too large floats": b"[1e999,-1e999,1" + b"0" * 5_000 + b".5e7]",
    "no numbers": b"[NaN,Infinity,-Infinity]",
    "invalid number": b"01",
    "no value": b"",
    "invalid UTF-8": b'"\xff\xfe"',
    "invalid UTF-8 outside of texts": b"\xff\xfe",
    "control characters": b'"a\nb\x00"',
    "control characters outside of texts": b"\x00\x01",
    "invalid escape": b'"\\x"',
    "brackets in a text": b'"]}\\"]}\\\\"',
    "brackets in texts of a deep value": b'{"]}\\"":' * 5_000 + b'"]}\\"\\\\"' + b"}" * 5_000,
    "a name that isn't its own": b'{"meta":{"Name":"i-2"},"a":' + b"9" * 5_000 + b"}",
    "long text": b'"' + b"[," * 500_000 + b'"',
    "duplicate keys": b'1,"a":2,"a":3',
}
OTHERS = [{"meta": {"Name": f"i-{number}"}, "spec": {"n": number}} for number in (2, 3)]


def decode(body, key="items"):
    message = MessageReader().feed(encode_message("HTTP/1.1 200 OK", {}, body))
    return store._decode(message, key)


def names_of(items):
    return [item["meta"]["Name"] for item in items]


def objects_around(item):
    """Returns JSON texts of three objects, of which one is given."""
    first, last = (json.dumps(other).encode() for other in OTHERS)
    return [first, item, last]


@pytest.mark.parametrize("value", ODD.values(), ids=ODD.keys())
def test_an_odd_value_does_not_affect_the_entries_around_it(value):
    """A list with bytes that are no JSON in one entry failed as a whole, again and again."""
    item = b'{"meta":{"Name":"i-1","Revision":7},"spec":{"a":%b},"status":null}' % value
    response = decode(b'{"AsOf":3,"items":[%b],"HasMore":true}' % b",".join(objects_around(item)))
    assert names_of(response.items) == ["i-2", "i-1", "i-3"]
    assert [response.items[0], response.items[2]] == OTHERS
    assert (response.revision, response.more) == (3, True)


@pytest.mark.parametrize("deleted", [False, True])
@pytest.mark.parametrize("head", [True, False])
@pytest.mark.parametrize("value", ODD.values(), ids=ODD.keys())
def test_an_odd_value_does_not_affect_the_events_around_it(value, head, deleted):
    """The event keeps its name and whether it is a deletion, wherever that is told."""
    item = b'{"meta":{"Name":"i-1","Revision":7},"spec":{"a":%b},"status":null}' % value
    mark = b'"Deleted":' + json.dumps(deleted).encode()
    texts = [
        b"{%b,%b}" % ((mark, b'"Object":' + text) if head else (b'"Object":' + text, mark))
        for text in objects_around(item)
    ]
    response = decode(b'{"events":[%b],"AsOf":3}' % b",".join(texts), "events")
    assert names_of(event["Object"] for event in response.items) == ["i-2", "i-1", "i-3"]
    assert [event["Deleted"] for event in response.items] == [deleted] * 3
    assert response.items[2]["Object"] == OTHERS[1]


@pytest.mark.parametrize(
    ("meta", "name"),
    [
        (b'{"Name":"i-1","Revision":%b}' % (b"9" * 5_000), "i-1"),
        (b'{"Revision":1e999,"Name":"i-1"}', "i-1"),
        (b'{"a":{"Name":"i-2"},"Name":"i-1"}', "i-1"),
        (b'{"a":%b,"Name":"i-1"}' % ODD["120,000 levels"], "i-1"),
        (b'{"Name":"i-\\u0031\\""}', 'i-1"'),
        (b'{"Name":"\\ud800\xff"}', "\ud800\udcff"),
        (b'{"Name":["i-1"]}', ""),
        (b'{"Name":17}', ""),
        (b'{"Name":"%b"}' % (b"i" * 1_000_000), ""),
        (b'{"Name":"i-1","a":[%b]}' % (b"9," * 500_000), "i-1"),
        (b'{%b"Name":"i-1"}' % (b'"a":[0],' * 50), "i-1"),
        (b'{%b"Name":"i-1"}' % (b'"a":"",' * 5_000), ""),
        (b"[]", ""),
        (b"null", ""),
        (b'"meta"', ""),
    ],
    ids=range(15),
)
def test_an_entry_that_cannot_be_read_keeps_its_own_name(meta, name):
    """Another name would remove another target."""
    item = b'{"meta":%b,"spec":{"a":%b}}' % (meta, ODD["1000 levels"])
    response = decode(b'{"items":[%b],"AsOf":3}' % b",".join(objects_around(item)))
    assert names_of(response.items) == ["i-2", name, "i-3"]


def test_several_odd_entries_do_not_affect_the_others():
    items = [
        b'{"meta":{"Name":"odd"},"spec":{"a":%b}}' % value
        for key, value in ODD.items()
        if len(value) < 200_000
    ]
    texts = [text for item in items for text in objects_around(item)]
    response = decode(b'{"items":[%b],"AsOf":3}' % b",\n ".join(texts))
    assert names_of(response.items) == ["i-2", "odd", "i-3"] * len(items)


@pytest.mark.parametrize(
    "body",
    [
        b'{"items":[{"meta":{"Name":"i-1"},"spec":{"a":"',
        b'{"items":[{"meta":{"Name":"i-1"}}',
        b'{"items":[{"meta":{"Name":"i-1"}}],"AsOf":',
        b'{"items":[{"a":01}],"AsOf":01}',
        b'{"items":"[{"a":01}]","AsOf":3}',
        b'{"items":17,"AsOf":3,"a":01}',
        b'{"items":"text","AsOf":3,"a":[[01]]}',
        b"[" * 500_000,
        b"]" * 500_000,
        b'"' * 500_000,
        b"\\" * 500_001,
        b"",
        b"\xff",
    ],
    ids=range(13),
)
def test_a_response_that_is_cut_or_no_json_has_a_code(body):
    with pytest.raises(PlatformError) as caught:
        decode(body)
    assert len(caught.value.detail) <= store.MAX_DETAIL_CHARS


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(alphabet='[]{}",:\\a\n\u00e9', max_size=6),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner, max_size=4)
    ),
    max_leaves=20,
)
ENTRIES = st.lists(
    st.fixed_dictionaries({"meta": st.fixed_dictionaries({"Name": st.text()}), "spec": JSON})
    | st.dictionaries(st.text(max_size=3), JSON, max_size=3)
    | st.none(),
    max_size=9,
)


@given(ENTRIES, st.sampled_from([None, 0, 3]), st.booleans(), st.integers(1, 40))
@settings(deadline=None, derandomize=True)
def test_entries_that_can_be_read_are_read_as_ever(entries, indent, ascii_only, block_bytes):
    payload = {"HasMore": False, "items": entries, "AsOf": 9, "Zone": "[{"}
    text = json.dumps(payload, indent=indent, ensure_ascii=ascii_only)
    before = extreme_values.BLOCK_BYTES
    extreme_values.BLOCK_BYTES = block_bytes
    try:
        assert read_entries(text.encode("utf-8", "surrogatepass"), "items") == json.loads(text)
    finally:
        extreme_values.BLOCK_BYTES = before


@given(st.binary(max_size=300))
@settings(deadline=None, derandomize=True)
def test_any_bytes_in_an_entry_raise_no_other_error(data):
    item = b'{"meta":{"Name":"i-1"},"spec":%b}' % data
    try:
        decode(b'{"items":[%b],"AsOf":3}' % b",".join(objects_around(item)))
    except PlatformError:
        # Quotes or brackets that have no end can't be told from those of the response.
        assert any(byte in data for byte in b'"[]{}\\')


@pytest.mark.parametrize("value", ODD.values(), ids=ODD.keys())
def test_reading_an_odd_entry_takes_few_steps(value):
    """A response with one entry of 1 MB took half a second of a core, with each list and watch."""
    steps = 0

    def trace(frame, event, _):
        nonlocal steps
        steps += event == "line" and frame.f_code.co_filename == extreme_values.__file__
        return trace

    item = b'{"meta":{"Name":"i-1"},"spec":{"a":%b}}' % value
    body = b'{"items":[%b],"AsOf":3}' % item
    before = sys.gettrace()
    sys.settrace(trace)
    try:
        decode(body)
    finally:
        sys.settrace(before)
    # One in twenty bytes.
    assert steps <= 200 + len(body) / 20
