"""Tests of instances and relays while the store comes back from an older copy, in virtual time."""

import asyncio
import random

import pytest

from tests.platform.store_fleet import BOUNDS, Fleet, entry
from tests.virtual_time import run

# More than one page of a list.
TARGETS = 60
LAST_TARGET = 200


async def started_fleet(relays=2, clients=2):
    fleet = Fleet(relays, clients)
    await fleet.configure()
    for number in range(1, TARGETS + 1):
        await fleet.put_target(number)
    await asyncio.sleep(2.0)
    return fleet


async def change_everything(fleet, step):
    """Makes one change of each kind; the revision increases by three."""
    await fleet.configure()
    await fleet.put_target(LAST_TARGET - step)
    await fleet.put_target(step, state="draining")


async def check_next_change(fleet):
    """Checks that a change in calm is known to all instances in time, and nothing else."""
    await asyncio.sleep(BOUNDS.contact_s)
    await change_everything(fleet, 30)
    await asyncio.sleep(BOUNDS.config_s)
    history = fleet.store.server.history
    listed, after, more = {}, "", True
    while more:
        page = history.page("servers", after)
        listed |= {item["meta"]["Name"]: item["spec"]["State"] for item in page["items"]}
        after, more = max(listed), page["HasMore"]
    for node in fleet.nodes:
        versions = [version for _, version in node.versions]
        assert versions == sorted(versions)
        assert versions[-1] == fleet.version
        states = {
            target.name: "draining" if target.draining else "ready"
            for target in node.instance.directory
        }
        assert states == listed
    await fleet.stop()


@pytest.mark.parametrize("away_s", [0.0, 0.5, 3.0])
@pytest.mark.parametrize("relays", [0, 2])
def test_changes_after_a_restore_reach_all_instances_in_time(relays, away_s):
    """A relay that keeps the higher revision of the lost history never forwards them."""

    async def scenario():
        fleet = await started_fleet(relays)
        fleet.copy()
        for step in range(1, 11):
            await change_everything(fleet, step)
            await asyncio.sleep(0.2)
        await fleet.restore(away_s)
        await check_next_change(fleet)

    run(scenario())


@pytest.mark.parametrize("relays", [0, 2])
def test_a_watch_whose_revision_was_issued_again_is_not_resumed(relays):
    """The new revisions pass the old one between two calls: no 410, only the era tells.

    What was written between the copy and the old revision would otherwise never be seen.
    """

    async def scenario():
        fleet = await started_fleet(relays)
        fleet.copy()
        await change_everything(fleet, 1)
        # Each instance has the events and pauses before its next call.
        await asyncio.sleep(0.05)
        await fleet.restore(rewrite_s=0.0)
        await fleet.put_target(2, state="draining")
        await asyncio.sleep(0.0)
        for number in range(TARGETS + 1, TARGETS + 21):
            await fleet.put_target(number)
        await check_next_change(fleet)

    run(scenario())


@pytest.mark.parametrize("call", range(0, 24, 2))
@pytest.mark.parametrize("stage", ["request", "response"])
@pytest.mark.parametrize("rewrite_s", [0.0, 1.0])
def test_a_restore_at_any_stage_of_a_call(call, stage, rewrite_s):
    """Lists of two pages and watches are cut at each stage, twice in a row, from the start on."""

    async def scenario():
        fleet = Fleet(1, 1)
        await fleet.configure()
        for number in range(1, TARGETS + 1):
            await fleet.put_target(number)
        fleet.copy()
        restored_at = []

        async def on_call(number, at):
            if (number, at) in ((call, stage), (call + 1, stage)):
                restored_at.append(number)
                await fleet.restore(rewrite_s=rewrite_s)

        fleet.store.on_call = on_call
        step = 0
        while len(restored_at) < 2:
            step += 1
            await change_everything(fleet, step)
            await asyncio.sleep(0.2)
        await check_next_change(fleet)

    run(scenario())


@pytest.mark.parametrize("fault", ["freeze", "cut"])
@pytest.mark.parametrize("victims", [[0], [1], [2], [3], [0, 1], [2, 3], [0, 2]])
@pytest.mark.parametrize("duration_s", [1.0, 5.0])
def test_a_restore_while_instances_are_cut_off_or_frozen(fault, victims, duration_s):
    async def scenario():
        fleet = await started_fleet()
        fleet.copy()
        for step in range(1, 6):
            await change_everything(fleet, step)
            await asyncio.sleep(0.2)
        faults = [
            asyncio.ensure_future(getattr(fleet.nodes[victim], fault)(duration_s))
            for victim in victims
        ]
        await asyncio.sleep(0.5)
        await fleet.restore(0.3)
        for step in range(6, 11):
            await change_everything(fleet, step)
            await asyncio.sleep(0.2)
        await fleet.restore(0.3)
        await asyncio.gather(*faults)
        await check_next_change(fleet)

    run(scenario())


def test_targets_that_changed_since_the_copy_keep_their_flows():
    """One has restarted, one has taken over an address, one is leaving; each has flows."""

    async def scenario():
        fleet = await started_fleet()
        fleet.copy()
        await fleet.put_target(1, born=2)
        await fleet.remove_target(2)
        await asyncio.sleep(2.0)
        fleet.entries["i-000000c8"] = entry(2, born=2)
        await fleet.put_target(3, state="draining")
        await asyncio.sleep(2.0)
        names = ("i-00000001", "i-000000c8", "i-00000003")
        live = [
            [node.instance.directory.find_by_name(name) for name in names] for node in fleet.nodes
        ]
        await fleet.restore()
        for _ in range(40):
            await asyncio.sleep(0.1)
            for restarted, successor, leaving in live:
                assert not restarted.gone and not successor.gone and not leaving.gone
                assert leaving.draining
        await check_next_change(fleet)

    run(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_random_restores_with_instances_cut_off_or_frozen(seed):
    async def scenario():
        rng = random.Random(seed)
        fleet = await started_fleet(rng.choice((1, 3)), 2)
        running = []

        def start(coroutine):
            running.append(asyncio.ensure_future(coroutine))

        def disturb():
            node = rng.choice(fleet.nodes)
            fault = rng.choice((node.freeze, node.cut, node.cut_from_store))
            start(fault(rng.uniform(0.2, 4.0)))

        def restore():
            start(fleet.restore(rng.choice((0.0, 0.0, 1.0)), rng.uniform(0.0, 1.0)))

        actions = (
            lambda: start(fleet.configure()),
            lambda: start(fleet.put_target(rng.randrange(TARGETS + 1, 2 * TARGETS + 1))),
            lambda: start(fleet.put_target(rng.randrange(1, TARGETS + 1), state="draining")),
            fleet.copy,
            disturb,
            restore,
        )
        for _ in range(40):
            rng.choices(actions, (6, 3, 3, 2, 2, 1))[0]()
            await asyncio.sleep(rng.uniform(0.0, 0.6))
        await asyncio.gather(*running)
        await check_next_change(fleet)

    run(scenario())
