"""Tests of pearwell.soak.schedule."""

from pearwell.soak.schedule import MAX_DURATION_S, FaultKind, draw_faults


def test_same_seed_gives_same_faults():
    assert draw_faults(7, 20.0) == draw_faults(7, 20.0) != draw_faults(8, 20.0)


def test_restores_follow_each_other_at_times():
    gaps = []
    for seed in range(40):
        restores = [f for f in draw_faults(seed, 20.0) if f.kind is FaultKind.STORE_RESTORE]
        gaps += [two.at_s - one.at_s for one, two in zip(restores, restores[1:], strict=False)]
    assert 10 < sum(gap <= MAX_DURATION_S for gap in gaps) < len(gaps)


def test_faults_come_in_order_overlap_and_cover_all_kinds():
    kinds, overlaps = set(), 0
    for seed in range(60):
        faults = draw_faults(seed, 20.0)
        assert [fault.at_s for fault in faults] == sorted(fault.at_s for fault in faults)
        assert all(0 < fault.for_s <= MAX_DURATION_S for fault in faults)
        kinds |= {fault.kind for fault in faults}
        pairs = zip(faults, faults[1:], strict=False)
        overlaps += sum(one.at_s + one.for_s > other.at_s for one, other in pairs)
    assert kinds == set(FaultKind)
    assert overlaps > 60
