"""Tests of pearwell.platform.objects."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearwell.affinity.chooser import choose_target
from pearwell.affinity.directory import Directory
from pearwell.affinity.instance import Bounds, Instance
from pearwell.affinity.large_events import MAX_EVENT_BYTES
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.target import NEVER
from pearwell.errors import Code, PlatformError
from pearwell.event_log import EventLog
from pearwell.platform.objects import (
    ConfigHandler,
    TargetHandler,
    decode_routes,
    decode_target,
    object_name,
)

SPEC = {
    "Service": "huvo11a",
    "Address": "10.128.0.9:8080",
    "Zone": "pnw-a",
    "Version": "v1",
    "Concurrency": 3,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 4,
    "born": 1764800000000,
}
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "split",
            "Host": "198.18.0.1",
            "PathPrefix": "/8443/",
            "TrafficSplit": [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}],
        },
        {"Name": "plain", "Host": "198.18.0.1", "PathPrefix": "/8080/", "Service": "a"},
    ],
    "Limits": {"IdleTimeoutMs": 12000},
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=12,
)


def entry(name="i-7f3a91c2", **changes):
    spec = {**SPEC, **changes}
    kept = {key: value for key, value in spec.items() if value is not ...}
    return {"meta": {"Name": name, "Revision": 3}, "spec": kept}


def config(**changes):
    return {"meta": {"Name": "main"}, "spec": {**CONFIG, **changes}}


# More than can be shown as text.
NESTED: list = []
for _ in range(5_000):
    NESTED = [NESTED]


def test_an_entry_is_decoded_to_a_target():
    found = decode_target(entry(WarmupLeftMs=1500), 10.0)
    assert (found.name, found.tag) == ("i-7f3a91c2", bytes.fromhex("000000007f3a91c2"))
    assert found.address == ("10.128.0.9", 8080)
    assert (found.service, found.zone, found.started_ms) == ("huvo11a", "pnw-a", 1764800000000)
    assert (found.draining, found.warmup_ends_at) == (False, 11.5)


@pytest.mark.parametrize(
    ("changes", "field", "value"),
    [
        ({"State": "draining"}, "draining", True),
        ({"WarmupLeftMs": 0}, "warmup_ends_at", NEVER),
        ({"WarmupLeftMs": 2.5}, "warmup_ends_at", 0.0025),
        ({"born": 0}, "started_ms", 0),
        ({"Sequence": 0}, "sequence", 0),
        ({}, "sequence", 4),
        ({"New": [1]}, "draining", False),
        ({}, "slots", 3),
        ({"Concurrency": 0}, "slots", None),
        ({"Concurrency": 10**9}, "slots", None),
    ],
)
def test_fields_at_their_limits_and_unknown_ones(changes, field, value):
    assert getattr(decode_target(entry(**changes), 0.0), field) == value


@pytest.mark.parametrize(
    "item",
    [
        None,
        "text",
        {},
        {"meta": {"Name": "i-1"}},
        {"meta": {"Name": "i-1"}, "spec": "text"},
        entry(name="none"),
        entry(name="i-" + "f" * 17),
        entry(name=""),
        *(entry(name=f"desk-{digits}") for digits in ("0", "0000", "0x1f", "+1", "1_0", " 1", "")),
        entry(State="standby"),
        entry(State=["ready"]),
        entry(State=...),
        entry(Service=4),
        entry(Service=...),
        entry(Address="10.128.0.9"),
        entry(Address="host:80"),
        entry(Address="10.128.0.9:x"),
        entry(Address="10.128.0.9:70000"),
        entry(Zone=None),
        entry(WarmupLeftMs="soon"),
        entry(WarmupLeftMs=10**400),
        entry(WarmupLeftMs=float("inf")),
        entry(WarmupLeftMs=float("nan")),
        *(
            entry(**{key: value})
            for key in SPEC
            for value in (..., None, True, [], {}, ["x"], NESTED, float("nan"), 10**400)
        ),
        *(entry(**{key: "2"}) for key in ("Concurrency", "WarmupLeftMs", "Sequence", "born")),
        *(entry(**{key: 1.5}) for key in ("Concurrency", "Sequence", "born", "Version")),
        entry(Version=9),
        entry(Sequence=-1),
        entry(born=-1),
        entry(name="\udcff-00000001"),
        entry(name="i\n-00000001"),
        entry(Service="\udcff"),
        entry(Service="intake\nevent=ready"),
        entry(Service=""),
        entry(Zone="pnw\ud800"),
        entry(Address="10.128.0.9 \udcff:8080"),
        entry(Address="10.128.0.9 x:8080"),
        entry(Address="10.128.0.9:\udcff"),
        entry(Address="10.9:8080"),
        entry(Address=NESTED),
        entry(State=NESTED),
        entry(Zone=NESTED),
        entry(name="n" * 1_000_000 + "-00000001"),
        entry(Service="s" * 1_000_000),
        entry(Zone="z" * 257),
        *(
            entry(Address=f"10.128.0.9:{port}")
            for port in ("0", "65536", "-1", "1e9", "9" * 5_000, " 80 ", "+80", "8_0", "080080")
        ),
        entry(Address="10.128.0.9:\u0668\u0660"),
        entry(Address="10.128.0.9:\u00b2"),
    ],
)
def test_invalid_entries_are_refused(item):
    """Some ended the process: in a log line, a token, an address or the text of the error."""
    with pytest.raises(PlatformError) as caught:
        decode_target(item, 0.0)
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER
    assert len(caught.value.detail) <= 600


@pytest.mark.parametrize(
    ("limits", "max_flows", "warmup_starts_per_s"),
    [
        ({"MaxConns": 3190, "WarmupPerS": 0.0}, 3190, None),
        ({"MaxConns": 3190, "WarmupPerS": 12.5}, 3190, 12.5),
        ({}, None, None),
        ({"MaxConns": "many", "WarmupPerS": -1}, None, None),
        ({"MaxConns": True, "WarmupPerS": [9]}, None, None),
        ({"MaxConns": 0, "WarmupPerS": float("inf")}, None, None),
    ],
)
def test_limits_of_services(limits, max_flows, warmup_starts_per_s):
    found = decode_routes(config(Services=[{"Name": "a", **limits}, "text"]))
    service = found.services["a"]
    assert (service.max_flows, service.warmup_starts_per_s) == (max_flows, warmup_starts_per_s)


@pytest.mark.parametrize(
    ("health_path", "found"),
    [
        ("/health", "/health"),
        (None, None),
        (7, None),
        ("health", None),
        ("/a b", None),
        ("/a\r\nb", None),
        ("/" + "x" * 1_000, None),
    ],
)
def test_health_paths_of_services(health_path, found):
    routes = decode_routes(config(Services=[{"Name": "a", "HealthPath": health_path}]))
    assert routes.services["a"].health_path == found


@pytest.mark.parametrize(
    ("kind", "repeatable"),
    [("idempotent", True), ("download", True), ("non_idempotent", False), (None, True), (7, True)],
)
def test_requests_of_a_route_may_be_repeatable(kind, repeatable):
    item = config()
    for route in item["spec"]["Routes"]:
        route["Type"] = kind
    assert {route.repeatable for route in decode_routes(item).by_address.values()} == {repeatable}


def test_implausible_limits_of_services_are_logged_once():
    events = []
    handler = ConfigHandler(RouteTable(), lambda event, **fields: events.append((event, fields)))
    services = [{"Name": "a", "MaxConns": -1, "WarmupPerS": 3}, {"Name": "b", "WarmupPerS": "x"}]
    for _ in range(2):
        handler.apply("main", config(Services=services), 0.0)
    logged = [fields for event, fields in events if event == "service_limits_ignored"]
    assert logged == [{"code": 406, "count": 2, "first": "a.MaxConns=-1"}]


@given(JSON)
def test_any_value_is_decoded_or_refused_with_a_code(value):
    for item in (value, {"meta": {"Name": "i-1"}, "spec": value}, {"meta": value}):
        assert isinstance(object_name(item), str)
        for decode in (lambda item: decode_target(item, 0.0), decode_routes):
            try:
                decode(item)
            except PlatformError as error:
                assert error.code is Code.PLATFORM_BAD_ANSWER


def test_an_invalid_entry_does_not_affect_the_others():
    directory, logged = Directory(), []
    handler = TargetHandler(
        directory, lambda now: True, lambda event, **fields: logged.append(event)
    )
    items = {"i-1": entry("i-1"), "i-2": entry("i-2", State=7), "i-3": entry("i-3")}
    handler.replace(items, 0.0)
    assert {found.name for found in directory} == {"i-1", "i-3"}
    handler.apply("i-1", entry("i-1", Address=None), 1.0)
    assert {found.name for found in directory} == {"i-3"}
    handler.apply("i-3", None, 1.0)
    assert len(directory) == 0
    assert logged.count("entry_unusable") == 2


@pytest.mark.parametrize("slots", [0, -2, 10**9])
def test_implausible_slots_are_logged_once_for_each_incarnation(slots):
    directory, logged = Directory(), []
    handler = TargetHandler(
        directory, lambda now: True, lambda event, **fields: logged.append((event, fields))
    )
    for now in (0.0, 1.0):
        handler.replace({"i-1": entry("i-1", Concurrency=slots)}, now)
        handler.apply("i-1", entry("i-1", Concurrency=slots, Sequence=5), now)
        handler.apply("i-2", entry("i-2"), now)
    ignored = [fields for event, fields in logged if event == "target_slots_ignored"]
    assert [(fields["target"], fields["code"]) for fields in ignored] == [("i-1", 406)]
    assert len(ignored[0]["detail"]) <= 80
    assert directory.find_by_name("i-1").zone == "pnw-a"
    handler.apply("i-1", entry("i-1", Concurrency=slots, born=SPEC["born"] + 9), 2.0)
    assert [event for event, _ in logged].count("target_slots_ignored") == 2


def test_a_change_of_slots_is_logged_and_applied():
    directory, logged = Directory(), []
    handler = TargetHandler(
        directory, lambda now: True, lambda event, **fields: logged.append((event, fields))
    )
    for slots in (2, 2, 4):
        handler.apply("i-1", entry("i-1", Concurrency=slots), 0.0)
    changes = [fields["slots"] for event, fields in logged if event == "target_slots_changed"]
    assert (changes, directory.find_by_name("i-1").slots) == ([4], 4)


def test_routes_are_keyed_by_address_in_packet_format():
    routes = decode_routes(config())
    assert (routes.version, routes.idle_s) == (7, 12.0)
    split = routes.by_address[(8443).to_bytes(2, "big") + bytes([198, 18, 0, 1])]
    assert split.services == (("a", 90), ("b", 10))
    plain = routes.by_address[(8080).to_bytes(2, "big") + bytes([198, 18, 0, 1])]
    assert plain.services == (("a", 1),)


@pytest.mark.parametrize(
    "item",
    [
        None,
        config(Version="7"),
        config(Version=True),
        config(Routes=None),
        config(Routes=[{"Host": "198.18.0.1", "PathPrefix": "/x/", "Service": "a"}]),
        config(Routes=[{"Host": "198.18.0.1", "PathPrefix": "/99999/", "Service": "a"}]),
        config(Routes=[{"Host": "name", "PathPrefix": "/80/", "Service": "a"}]),
        config(Routes=[{"Host": "198.18.0.1", "PathPrefix": "/80/"}]),
    ],
)
def test_an_invalid_configuration_leaves_the_one_in_force(item):
    table, logged = RouteTable(), []
    handler = ConfigHandler(table, lambda event, **fields: logged.append(event))
    handler.apply("main", config(), 0.0)
    handler.apply("main", item, 1.0)
    handler.apply("other", config(Version=99), 1.0)
    assert table.version == 7


@pytest.mark.parametrize("field", ["Name", "Type", "Priority", "TimeoutMs", "TargetLatencyMs"])
@pytest.mark.parametrize("value", ["\udcff", NESTED, 10**400, float("nan")])
def test_unreadable_goals_of_a_route_do_not_affect_the_configuration(field, value):
    """Text of a configuration reaches the log as well."""
    table, output = RouteTable(), []
    log = EventLog(lambda data: output.append(data) or len(data), lambda: 0.0)
    route = {**CONFIG["Routes"][1], field: value}
    ConfigHandler(table, log.event).apply("main", config(Routes=[route]), 0.0)
    log.flush()
    assert table.version == 7
    assert b"event=configuration_applied" in output[0]


@pytest.mark.parametrize("idle_ms", [0, -5, "x", None, True])
def test_an_invalid_idle_timeout_falls_back_to_the_default(idle_ms):
    assert decode_routes(config(Limits={"IdleTimeoutMs": idle_ms})).idle_s == 15.0


GOALS = {"TargetLatencyMs": 150, "TimeoutMs": 2500, "Priority": 2}


def route(**changes):
    values = {"Name": "r", "Host": "198.18.0.1", "PathPrefix": "/80/", "Service": "a"} | GOALS
    return {key: value for key, value in (values | changes).items() if value is not None}


@pytest.mark.parametrize(
    ("changes", "goals", "invalid"),
    [
        ({}, (0.15, 2.5, 2), 0),
        ({"TargetLatencyMs": None}, (None, 2.5, 2), 1),
        ({"TargetLatencyMs": 0}, (None, 2.5, 2), 1),
        ({"TargetLatencyMs": "150"}, (None, 2.5, 2), 1),
        ({"TargetLatencyMs": float("nan")}, (None, 2.5, 2), 1),
        ({"TimeoutMs": -1}, (0.15, None, 2), 1),
        ({"TimeoutMs": 10**12}, (0.15, None, 2), 1),
        ({"Priority": 1.5}, (0.15, 2.5, 0), 1),
        ({"Priority": -1}, (0.15, 2.5, 0), 1),
        ({"Priority": True, "TimeoutMs": None}, (0.15, None, 0), 2),
    ],
)
def test_invalid_goals_of_a_route_are_ignored_and_logged_once(changes, goals, invalid):
    table, logged = RouteTable(), []
    handler = ConfigHandler(table, lambda event, **fields: logged.append((event, fields)))
    for _ in range(2):
        handler.apply("main", config(Routes=[route(**changes)]), 0.0)
    found = table.find((80).to_bytes(2, "big") + bytes([198, 18, 0, 1]))
    assert (found.objective_s, found.timeout_s, found.priority) == goals
    ignored = [fields["count"] for event, fields in logged if event == "route_goals_ignored"]
    assert ignored == ([invalid] if invalid else [])


LONG_NAME = "n" * 1_000_000
EXTREMES = (
    st.sampled_from(
        [
            10**400,
            -(10**400),
            1 << 53,
            float("inf"),
            float("-inf"),
            float("nan"),
            -1,
            0,
            LONG_NAME,
            "\ud800",
            "\x00",
            "a\nb",
            NESTED,
            {"meta": {"Name": "i-00000001"}},
            "10.128.0.9:0",
            "10.128.0.9:8080",
            "ready",
            "draining",
        ]
    )
    | JSON
)
FIELDS = [*SPEC, "x"]
ODD_ENTRIES = st.builds(
    lambda name, changes: entry(name=name, **changes),
    st.sampled_from(["i-00000001", "i-00000002", LONG_NAME + "-01", "", "\ud800-01", 7]),
    st.dictionaries(st.sampled_from(FIELDS), EXTREMES | st.just(...), max_size=4),
)


def outcome(item):
    """Returns the fields of the target that an entry describes, or None."""
    try:
        found = decode_target(item, 10.0)
    except PlatformError:
        return None
    return {name: getattr(found, name) for name in found.__slots__}


@given(ODD_ENTRIES | JSON)
@settings(deadline=None, derandomize=True)
def test_a_shortened_entry_describes_the_same_target(item):
    """Callers of a relay learn only this of a large entry, and must not list the store for it."""
    handler = TargetHandler(Directory(), lambda now: True, lambda event, **fields: None)
    short = handler.shorten(item)
    assert outcome(short) == outcome(item)
    assert len(json.dumps(short)) <= MAX_EVENT_BYTES
    name = object_name(item)
    assert object_name(short) in ("", name)


@given(st.lists(st.tuples(st.booleans(), ODD_ENTRIES), max_size=8))
@settings(deadline=None, derandomize=True)
def test_odd_entries_do_not_affect_the_others(changes):
    """From the entry to the directory, the log, the choice of a target and the metrics."""
    written = bytearray()
    log = EventLog(lambda data: written.extend(data) or len(data), lambda: 0.0, instance="a")
    instance = Instance(
        "pnw-a", Bounds(3.0, 3.0, 4.0, 6.0), 0, True, lambda: 0.5, log.flow, log.event, 1
    )
    handler = TargetHandler(instance.directory, lambda now: True, log.event)
    good = entry(name="i-0000000a")
    handler.replace({"i-0000000a": good}, 1.0)
    for number, (listed, item) in enumerate(changes):
        now = 2.0 + number
        if listed:
            handler.replace({object_name(item): item, "i-0000000a": good}, now)
        else:
            handler.apply(object_name(item), item, now)
        assert instance.directory.find_by_name("i-0000000a").listed
        targets = instance.directory.find_by_service("huvo11a")
        for queueing in (False, True):
            assert choose_target(targets, "pnw-a", (), b"f" * 12, now, queueing) is not None
        instance.tick(now)
        assert instance.samples(now)
        log.flush()
    assert all(len(line) <= 2_000 for line in written.splitlines())


def test_many_unusable_entries_are_logged_together():
    events = []
    handler = TargetHandler(
        Directory(), lambda now: True, lambda event, **fields: events.append((event, fields))
    )
    items = {f"odd-{number}": {"meta": {"Name": f"odd-{number}"}} for number in range(300)}
    handler.replace(items, 0.0)
    assert [event for event, _ in events].count("entry_unusable") == 10
    assert [fields["count"] for event, fields in events if event == "entries_unusable"] == [300]


@pytest.mark.parametrize(
    "changes",
    [
        {"Version": NESTED},
        {"Version": 10**400},
        {"Version": True},
        {"Version": float("nan")},
        {"Routes": NESTED},
        {"Routes": [NESTED]},
        {"Routes": [{**CONFIG["Routes"][1], "Service": ["a"]}]},
        {"Routes": [{**CONFIG["Routes"][1], "Service": {}}]},
        {"Routes": [{**CONFIG["Routes"][1], "PathPrefix": "/" + "9" * 5_000 + "/"}]},
        {"Routes": [{**CONFIG["Routes"][1], "Host": "9" * 1_000_000}]},
        *(
            {
                "Routes": [
                    {**CONFIG["Routes"][0], "TrafficSplit": [{"Service": "a", "Weight": weight}]}
                ]
            }
            for weight in (float("nan"), float("inf"), 10**400, -1, "1", None, NESTED, True)
        ),
    ],
)
def test_an_extreme_configuration_is_refused_in_one_line(changes):
    """The text of a refused version of 5,000 levels couldn't be made, which ended the process."""
    events = []
    handler = ConfigHandler(RouteTable(), lambda event, **fields: events.append((event, fields)))
    handler.apply("main", config(**changes), 0.0)
    [(event, fields)] = events
    assert event == "configuration_unusable"
    assert len(fields["detail"]) <= 300


@pytest.mark.parametrize(("name", "short"), [("main", None), ("other", "other"), ("", "")])
def test_only_the_configuration_itself_matters_where_it_is_large(name, short):
    handler = ConfigHandler(RouteTable(), lambda event, **fields: None)
    found = handler.shorten({"meta": {"Name": name}, "spec": {"a": "x" * 100_000}})
    assert (None if found is None else object_name(found)) == short
