"""Tests of pearwell.standins.object_history."""

import pytest

from pearwell.standins.object_history import ObjectHistory, RevisionConflictError


def names(history, kind="servers"):
    return [item["meta"]["Name"] for item in history.page(kind, "")["items"]]


def test_a_restore_loses_later_changes_and_issues_their_revisions_again():
    history = ObjectHistory()
    history.write("servers", "a", 1)
    copy = history.copy()
    history.write("servers", "b", 1)
    history.remove("servers", "a")
    assert (names(history), history.revision, history.era) == (["b"], 4, 1)
    history.restore(copy)
    assert (names(history), history.revision, history.era) == (["a"], 2, 2)
    history.write("servers", "c", 1)
    assert (names(history), history.revision) == (["a", "c"], 3)
    history.restore(copy)
    assert (names(history), history.era) == (["a"], 3)


@pytest.mark.parametrize(
    ("revision", "found"), [(1, ["a", "b"]), (2, ["b"]), (3, []), (4, None), (9, None)]
)
def test_a_watch_from_a_revision_that_the_store_does_not_have_is_refused(revision, found):
    history = ObjectHistory()
    history.write("servers", "a", 1)
    history.write("servers", "b", 1)
    copy = history.copy()
    history.write("servers", "c", 1)
    history.restore(copy)
    events = history.events_after("servers", revision)
    assert events == found or [event["Object"]["meta"]["Name"] for event in events] == found


def test_compaction_refuses_earlier_revisions():
    history = ObjectHistory()
    history.write("servers", "a", 1)
    history.compact()
    assert history.events_after("servers", 1) is None
    assert history.events_after("servers", 2) == []


@pytest.mark.parametrize(
    ("expected", "written"), [(None, True), (2, True), (0, False), (1, False), (3, False)]
)
def test_a_write_under_a_condition(expected, written):
    history = ObjectHistory()
    history.write("servers", "a", 1)
    if written:
        assert history.write("servers", "a", 2, expected)
    else:
        with pytest.raises(RevisionConflictError) as caught:
            history.write("servers", "a", 2, expected)
        assert caught.value.item["spec"] == 1


def test_a_condition_on_a_lost_revision_fails_or_meets_another_object_state():
    """A revision that was issued again belongs to another change: conditions don't span eras."""
    history = ObjectHistory()
    copy = history.copy()
    history.write("config", "main", "lost")
    history.restore(copy)
    with pytest.raises(RevisionConflictError):
        history.write("config", "main", "next", expected=2)
    history.write("config", "main", "other")
    assert history.write("config", "main", "next", expected=2)


def test_objects_are_unconfirmed_until_they_are_written_again():
    history = ObjectHistory()
    for name in ("a", "b"):
        history.write("servers", name, 1)
    history.restore(history.copy())
    assert not history.write("servers", "a", 1)
    assert history.unconfirmed == {("servers", "b")}
