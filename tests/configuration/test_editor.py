"""Tests of pearwell.configuration.editor and claims, with faults at every step of a write."""

import asyncio
import random
from collections import deque
from dataclasses import replace

import pytest

from pearwell.admin.client import DEFAULT_TIMEOUT_S
from pearwell.configuration import edits
from pearwell.configuration.audit import MAX_AUDIT_ENTRIES, Action, audit_records
from pearwell.configuration.claims import CLAIM_KIND
from pearwell.configuration.document import decode_document, encode_document
from pearwell.configuration.editor import WRITE_DEADLINE_S, ConfigurationEditor, WriteRequest
from pearwell.configuration.validation import endpoint
from pearwell.errors import Code, PearwellError, PlatformError
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.object_store import Fault, MemoryObjectStore, RetryingObjectStore, RetryPolicy
from tests.virtual_time import run

TARGETS = tuple(TargetSpec(f"t{n}", f"10.0.0.{n}", "pnw-a") for n in range(1, 4))
GROUP = GroupSpec("g", TARGETS)
SPARE = GroupSpec("spare", TARGETS)
SERVICE = ServiceSpec("s", "10.1.0.1", 443, TransportProtocol.TCP, "g")
OTHER = replace(SERVICE, name="other", address="10.1.0.2")
MOVED = replace(SERVICE, address="10.1.0.9")

# Action, kind, name, edit.
WRITES = {
    "create-service": (
        Action.CREATE,
        Kind.SERVICE,
        "new",
        edits.create(replace(MOVED, name="new")),
    ),
    "move-service": (Action.UPDATE, Kind.SERVICE, "s", edits.update(MOVED)),
    "delete-service": (Action.DELETE, Kind.SERVICE, "s", edits.remove("s")),
    "update-group": (Action.UPDATE, Kind.GROUP, "g", edits.update(replace(GROUP, seed=5))),
    "delete-group": (Action.DELETE, Kind.GROUP, "spare", edits.remove("spare")),
    "drain": (Action.DRAIN_TARGET, Kind.GROUP, "g", edits.drain_target("g", "t1", 60.0)),
    "put": (Action.PUT_TARGET, Kind.GROUP, "g", edits.put_target("g", replace(TARGETS[0], port=9))),
    "remove": (Action.REMOVE_TARGET, Kind.GROUP, "g", edits.remove_target("g", "t3")),
}
# Each fault alone, and the combinations that may occur together.
FAULTS = [(fault,) for fault in Fault if fault is not Fault.NONE] + [
    (Fault.LOST_ANSWER, Fault.LOST_ANSWER),
    (Fault.LOST_ANSWER, Fault.OUTAGE),
    (Fault.LOST_ANSWER, Fault.STALE),
    (Fault.STALE, Fault.LOST_ANSWER),
    (Fault.OUTAGE, Fault.LOST_ANSWER),
    (Fault.SLOW, Fault.LOST_ANSWER),
]
VERSIONED_ACTIONS = {Action.UPDATE, Action.DELETE}


def make_editor(store, retrying=True, seed=1):
    loop, rng = asyncio.get_running_loop(), random.Random(seed)
    platform = RetryingObjectStore(store, loop, rng) if retrying else store
    return ConfigurationEditor(platform, rng, f"pnw-a-{seed}", lambda: 1.7e9 + loop.now())


async def prepared_store():
    store = MemoryObjectStore()
    direct_editor = make_editor(store, retrying=False)
    for spec in (GROUP, SPARE, SERVICE, OTHER):
        kind = Kind.GROUP if isinstance(spec, GroupSpec) else Kind.SERVICE
        await direct_editor.write(
            write_request(Action.CREATE, kind, spec.name, spec.name), edits.create(spec)
        )
    store.freeze()
    # A later change that stale reads don't show.
    await direct_editor.write(
        write_request(Action.UNDRAIN_TARGET, Kind.GROUP, "g", "later"),
        edits.undrain_target("g", "t2"),
    )
    return store


def write_request(action, kind, name, key, expected=None, fingerprint="f"):
    return WriteRequest(kind, name, action, key, fingerprint, "ada", expected_version=expected)


async def stored_state(store):
    found = {}
    for kind in Kind:
        for stored in (await store.list(kind)).items:
            document = decode_document(stored)
            keys = [entry.key for entry in document.audit_entries]
            assert len(keys) == len(set(keys)), "a change was made twice"
            found[kind, stored.name] = (document.spec, tuple(keys))
    return found


async def expected_version(store, write):
    action, kind, name, _ = WRITES[write]
    return (await store.get(kind, name)).version if action in VERSIONED_ACTIONS else None


async def run_write(store, write, retrying, expected, seed=1):
    action, kind, name, edit = WRITES[write]
    request = write_request(action, kind, name, "key", expected)
    return await make_editor(store, retrying, seed).write(request, edit)


async def run_with_faults(write, step, faults, retrying):
    store = await prepared_store()
    expected = await expected_version(store, write)
    store.faults.plan = deque([Fault.NONE] * step + list(faults))
    retries = 0
    while True:
        try:
            outcome = await run_write(store, write, retrying, expected, seed=1 + retries)
        except PlatformError:
            retries += 1
            continue
        reached = len(store.faults.plan) < len(faults)
        store.faults.plan.clear()
        return outcome, retries, reached, await stored_state(store), store


@pytest.mark.parametrize("retrying", [True, False], ids=["retrying", "repeated-by-operator"])
@pytest.mark.parametrize("faults", FAULTS, ids="-".join)
@pytest.mark.parametrize("write", WRITES)
def test_every_fault_at_every_step_of_a_write_leaves_exactly_one_effect(write, faults, retrying):
    async def scenario():
        _, _, _, expected_state, _ = await run_with_faults(write, 0, (Fault.NONE,), retrying)
        step, reached = 0, True
        while reached:
            outcome, retries, reached, found, store = await run_with_faults(
                write, step, faults, retrying
            )
            assert found == expected_state, f"step {step}"
            assert retries <= (0 if retrying else len(faults))
            stored = await store.get(WRITES[write][1], WRITES[write][2])
            assert outcome.version == stored.version
            step += 1
        return step

    assert run(scenario()) >= 3


@pytest.mark.parametrize("first", WRITES)
@pytest.mark.parametrize("seed", range(3))
def test_concurrent_writes_of_two_operators_give_one_success_and_one_coded_conflict(first, seed):
    async def scenario():
        store = await prepared_store()
        expected = await expected_version(store, first)
        rng = random.Random(seed)
        store._sleep = lambda seconds: asyncio.sleep(rng.uniform(0, seconds))
        store.faults.delay_s = 0.05
        action, kind, name, edit = WRITES[first]
        concurrent_writes = [
            make_editor(store, seed=2 + n).write(
                write_request(action, kind, name, f"key{n}", expected), edit
            )
            for n in range(2)
        ]
        outcomes = await asyncio.gather(*concurrent_writes, return_exceptions=True)
        return [o.code if isinstance(o, PearwellError) else Code.OK for o in outcomes]

    action = WRITES[first][0]
    second = {
        Action.CREATE: {Code.CONFIG_ALREADY_EXISTS},
        Action.UPDATE: {Code.CONFIG_CONFLICT},
        Action.DELETE: {Code.CONFIG_NOT_FOUND, Code.CONFIG_CONFLICT},
        Action.REMOVE_TARGET: {Code.CONFIG_NOT_FOUND},
    }.get(action, {Code.OK})
    codes = run(scenario())
    assert Code.OK in codes
    codes.remove(Code.OK)
    assert codes[0] in second


@pytest.mark.parametrize("seed", range(12))
def test_no_two_services_ever_share_an_address(seed):
    async def scenario():
        store = MemoryObjectStore()
        rng = random.Random(seed)
        store._sleep = lambda seconds: asyncio.sleep(rng.uniform(0, seconds))
        await make_editor(store).write(
            write_request(Action.CREATE, Kind.GROUP, "g", "g"), edits.create(GROUP)
        )
        store.faults.delay_s = 0.3
        await asyncio.gather(*(run_operator(store, rng, operator) for operator in range(4)))
        return await accepted_specs(store)

    live = {}
    accepted = 0
    for kind, name, spec in run(scenario()):
        if kind == Kind.SERVICE:
            accepted += 1
            live[name] = spec and endpoint(spec)
            held_addresses = [address for address in live.values() if address]
            assert len(held_addresses) == len(set(held_addresses))
    assert accepted > 10


async def run_operator(store, rng, operator):
    for turn in range(25):
        store.faults.lose_answers += rng.random() < 0.2
        store.faults.lose_requests += rng.random() < 0.2
        name = f"s{rng.randrange(3)}"
        spec = replace(SERVICE, name=name, address=f"10.1.0.{rng.randrange(1, 3)}")
        operator_editor = make_editor(store, seed=100 * operator + turn)
        key = f"{operator}-{turn}"
        choice = rng.randrange(3)
        edit = [edits.create(spec), edits.update(spec), edits.remove(name)][choice]
        action = [Action.CREATE, Action.UPDATE, Action.DELETE][choice]
        try:
            await operator_editor.write(write_request(action, Kind.SERVICE, name, key), edit)
        except PearwellError as error:
            assert error.code.value // 100 in (3, 4)


async def accepted_specs(store):
    store.faults.delay_s = 0.0
    store.faults.lose_answers = store.faults.lose_requests = 0
    versions = []
    found = []
    for event in store._history:
        versions.append(event.stored.version)
        if event.stored.kind != CLAIM_KIND:
            document = decode_document(event.stored)
            found.append((event.stored.kind, event.stored.name, document.spec))
    assert versions == sorted(set(versions)), "two accepted writes of one version"
    return found


def test_an_abandoned_claim_is_taken_over_and_the_late_write_fails():
    async def scenario():
        store = await prepared_store()
        late_editor = make_editor(store, seed=2)
        spec = replace(MOVED, name="late")
        gate = asyncio.Event()
        create = store.create

        async def delayed_create(kind, name, value):
            if name == "late" and not gate.is_set() and value["spec"] is not None:
                await gate.wait()
            return await create(kind, name, value)

        store.create = delayed_create
        task = asyncio.ensure_future(
            late_editor.write(
                write_request(Action.CREATE, Kind.SERVICE, "late", "k1"), edits.create(spec)
            )
        )
        await asyncio.sleep(0.1)
        await run_write(store, "create-service", True, None, seed=3)
        gate.set()
        with pytest.raises(PearwellError) as refused:
            await task
        return refused.value.code, (await stored_state(store))[Kind.SERVICE, "late"][0]

    assert run(scenario()) == (Code.CONFIG_ADDRESS_OVERLAP, None)


@pytest.mark.parametrize(
    ("action", "kind", "name", "edit", "expected", "code"),
    [
        (Action.CREATE, Kind.GROUP, "g", edits.create(GROUP), None, Code.CONFIG_ALREADY_EXISTS),
        (Action.UPDATE, Kind.GROUP, "g", edits.update(GROUP), 1, Code.CONFIG_CONFLICT),
        (Action.UPDATE, Kind.GROUP, "none", edits.update(GROUP), None, Code.CONFIG_NOT_FOUND),
        (Action.DELETE, Kind.GROUP, "g", edits.remove("g"), None, Code.CONFIG_GROUP_IN_USE),
        (Action.CREATE, Kind.GROUP, "Bad", edits.create(GROUP), None, Code.CONFIG_BAD_NAME),
        (
            Action.CREATE,
            Kind.GROUP,
            "e",
            edits.create(GroupSpec("e", ())),
            None,
            Code.CONFIG_EMPTY_GROUP,
        ),
        (
            Action.CREATE,
            Kind.SERVICE,
            "n",
            edits.create(replace(SERVICE, name="n")),
            None,
            Code.CONFIG_ADDRESS_OVERLAP,
        ),
        (
            Action.UPDATE,
            Kind.SERVICE,
            "s",
            edits.update(replace(SERVICE, group="none")),
            None,
            Code.CONFIG_UNKNOWN_GROUP,
        ),
        (
            Action.DRAIN_TARGET,
            Kind.GROUP,
            "g",
            edits.drain_target("g", "none", 0.0),
            None,
            Code.CONFIG_NOT_FOUND,
        ),
    ],
)
def test_a_refused_change_has_a_code_and_changes_nothing(action, kind, name, edit, expected, code):
    async def scenario():
        store = await prepared_store()
        before = await stored_state(store)
        with pytest.raises(PearwellError) as refused:
            await make_editor(store).write(write_request(action, kind, name, "key", expected), edit)
        assert await stored_state(store) == before
        return refused.value.code

    assert run(scenario()) is code


def test_a_repeated_request_returns_the_first_outcome_and_a_reused_key_is_refused():
    async def scenario():
        store = await prepared_store()
        drain = write_request(Action.DRAIN_TARGET, Kind.GROUP, "g", "k")
        first = await make_editor(store).write(drain, edits.drain_target("g", "t1", 0.0))
        undrain = write_request(Action.UNDRAIN_TARGET, Kind.GROUP, "g", "k2")
        await make_editor(store, seed=2).write(undrain, edits.undrain_target("g", "t1"))
        retried = await make_editor(store, seed=3).write(drain, edits.drain_target("g", "t1", 0.0))
        assert (retried.version, retried.repeated) == (first.version, True)
        assert retried.document.spec.targets[0].intent is TargetIntent.SERVING
        with pytest.raises(PearwellError) as refused:
            await make_editor(store).write(replace(drain, fingerprint="x"), edits.remove("g"))
        return refused.value.code

    assert run(scenario()) is Code.CONFIG_KEY_REUSED


def test_each_inner_timeout_is_shorter_than_the_outer_one():
    policy = RetryPolicy()
    inner_to_outer = [
        policy.attempt_timeout_s,
        policy.deadline_s,
        WRITE_DEADLINE_S,
        DEFAULT_TIMEOUT_S,
    ]
    assert inner_to_outer == sorted(set(inner_to_outer))

    async def scenario():
        store = await prepared_store()
        store.faults.delay_s = 1.4
        store.faults.lose_requests = 3
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(PlatformError) as failed:
            await run_write(store, "move-service", True, None)
        return failed.value.code, asyncio.get_running_loop().time() - started_at

    code, elapsed_s = run(scenario())
    assert (code, elapsed_s) == (Code.PLATFORM_TIMEOUT, WRITE_DEADLINE_S)


def test_the_audit_trail_is_bounded_and_gives_versions_before_and_after():
    async def scenario():
        store = await prepared_store()
        first = await make_editor(store).read(Kind.GROUP, "g")
        for n in range(MAX_AUDIT_ENTRIES + 5):
            edit = edits.drain_target("g", "t1", float(n))
            request = write_request(Action.DRAIN_TARGET, Kind.GROUP, "g", f"k{n}")
            await make_editor(store).write(request, edit)
        return first, await make_editor(store).read(Kind.GROUP, "g")

    first, document = run(scenario())
    trail = audit_records(Kind.GROUP, "g", document.audit_entries, document.version)
    assert len(trail) == MAX_AUDIT_ENTRIES
    assert trail[0].version_after == document.version
    assert all(r.version_after == r.entry.version_before + 1 for r in trail)
    assert trail[0].entry.changes == ("targets.t1.drain_deadline_s: 67.0 -> 68.0",)
    assert (trail[0].entry.actor, trail[0].entry.instance) == ("ada", "pnw-a-1")
    assert len(str(encode_document(document))) < 40_000
    assert first.version < trail[-1].entry.version_before
