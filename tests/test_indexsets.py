"""Tests of sets of indexes that are kept as ranges."""

import hypothesis
import pytest
from hypothesis import strategies

from quetzalswitch.decision import indexsets

COUNT = 40
_INDEXES = strategies.integers(0, COUNT - 1)
_CHANGES = strategies.lists(strategies.tuples(strategies.booleans(), _INDEXES))


@hypothesis.settings(derandomize=True)
@hypothesis.given(_CHANGES)
def test_ranges_hold_what_a_set_holds(changes):
    """Guards against an index that a split or merge of ranges loses."""
    found = indexsets.IndexSet()
    expected = set()
    for added, index in changes:
        if added:
            found.add(index)
            expected.add(index)
        else:
            found.discard(index)
            expected.discard(index)
        assert found == expected
        assert len(found) == len(expected)
    assert list(found) == sorted(expected)
    assert [i for i in range(COUNT) if i in found] == sorted(expected)
    assert found.invert(COUNT) == set(range(COUNT)) - expected
    bounds = found.list_bounds()
    assert indexsets.IndexSet.from_bounds(bounds) == expected
    mask = found.make_mask(COUNT)
    assert mask == sum(1 << index for index in expected).to_bytes(5)
    assert indexsets.IndexSet.from_mask(mask, COUNT) == expected
    for index in range(COUNT):
        gap = next(n for n in range(index, COUNT + 1) if n not in expected)
        assert found.find_gap(index) == gap


def test_size_follows_the_gaps_and_not_the_count():
    """Guards against memory that grows with a number that a caller chose."""
    found = indexsets.IndexSet.full(10**15)
    found.discard(5)
    assert found.list_bounds() == [0, 5, 6, 10**15]
    assert found.list_first(7) == [0, 1, 2, 3, 4, 6, 7]
    assert len(found) == 10**15 - 1


@pytest.mark.parametrize("bounds", [[1], [2, 1], [0, 3, 3, 4], [-1, 2]])
def test_bounds_that_do_not_ascend_are_rejected(bounds):
    """Guards against a stored row that stands for no set."""
    with pytest.raises(ValueError, match="ascending"):
        indexsets.IndexSet.from_bounds(bounds)
