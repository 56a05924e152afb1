"""Sets of indexes that are kept as ranges.

Callers choose how many tasks a step has and how often it runs. The size of such
a set follows the number of its gaps instead.
"""

import bisect
import itertools
import re
import typing
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import MutableSet


class IndexSet(MutableSet):
    """A set of integers from 0, iterated in ascending order."""

    __slots__ = ("_count", "_ends", "_starts")

    def __init__(self, indexes: Iterable[int] = ()):
        # Of the ranges, in ascending order; an end is not part of its range.
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._count = 0
        for index in indexes:
            self.add(index)

    @classmethod
    def full(cls, count: int) -> "IndexSet":
        """Returns the set of all indexes below a number."""
        found = cls()
        if count:
            found._starts = [0]
            found._ends = [count]
            found._count = count
        return found

    @classmethod
    def from_bounds(cls, bounds: typing.Sequence[int]) -> "IndexSet":
        """Returns a set from the start and end of each range, in a row.

        Raises:
            ValueError: The numbers don't ascend, or an end is missing.
        """
        pairs = itertools.pairwise([-1, *bounds])
        if len(bounds) % 2 or any(low >= high for low, high in pairs):
            raise ValueError("expected the ascending bounds of ranges")
        found = cls()
        found._starts = list(bounds[::2])
        found._ends = list(bounds[1::2])
        found._count = sum(found._ends) - sum(found._starts)
        return found

    @classmethod
    def from_mask(cls, mask: bytes, count: int) -> "IndexSet":
        """Returns a set from a big-endian bit mask; ignores higher indexes."""
        bits = bin(int.from_bytes(mask))[:1:-1][:count]
        bounds = [
            bound for match in re.finditer("1+", bits) for bound in match.span()
        ]
        return cls.from_bounds(bounds)

    def __contains__(self, index: object) -> bool:
        """Returns whether an index is in the set."""
        position = bisect.bisect_right(self._starts, index) - 1
        return position >= 0 and index < self._ends[position]

    def __iter__(self) -> Iterator[int]:
        """Yields the indexes, the lowest first."""
        return itertools.chain.from_iterable(
            map(range, self._starts, self._ends)
        )

    def __len__(self) -> int:
        """Returns the number of indexes."""
        return self._count

    def __repr__(self) -> str:
        """Returns the ranges."""
        return f"IndexSet.from_bounds({self.list_bounds()})"

    def add(self, index: int) -> None:
        """Adds an index."""
        position = bisect.bisect_right(self._starts, index)
        after_last = position > 0 and self._ends[position - 1] >= index
        if after_last and self._ends[position - 1] > index:
            return
        before_next = (
            position < len(self._starts) and self._starts[position] == index + 1
        )
        self._count += 1
        if after_last and before_next:
            self._ends[position - 1] = self._ends.pop(position)
            del self._starts[position]
        elif after_last:
            self._ends[position - 1] = index + 1
        elif before_next:
            self._starts[position] = index
        else:
            self._starts.insert(position, index)
            self._ends.insert(position, index + 1)

    def discard(self, index: int) -> None:
        """Removes an index if it is in the set."""
        if index not in self:
            return
        position = bisect.bisect_right(self._starts, index) - 1
        start, end = self._starts[position], self._ends[position]
        self._count -= 1
        if start == index and end == index + 1:
            del self._starts[position]
            del self._ends[position]
        elif start == index:
            self._starts[position] = index + 1
        elif end == index + 1:
            self._ends[position] = index
        else:
            self._ends[position] = index
            self._starts.insert(position + 1, index + 1)
            self._ends.insert(position + 1, end)

    def clear(self) -> None:
        """Removes all indexes."""
        self._starts.clear()
        self._ends.clear()
        self._count = 0

    def list_first(self, count: int) -> list[int]:
        """Returns the lowest indexes, at most so many."""
        return list(itertools.islice(self, count))

    def find_gap(self, index: int) -> int:
        """Returns the lowest number from an index on that is not in the set."""
        position = bisect.bisect_right(self._starts, index) - 1
        return max(index, self._ends[position]) if position >= 0 else index

    def list_bounds(self) -> list[int]:
        """Returns the start and the end of each range, in a row."""
        pairs = zip(self._starts, self._ends, strict=True)
        return list(itertools.chain.from_iterable(pairs))

    def make_mask(self, count: int) -> bytes:
        """Returns a big-endian bit mask of the indexes below a number."""
        mask = 0
        for start, end in zip(self._starts, self._ends, strict=True):
            mask |= ((1 << end - start) - 1) << start
        return mask.to_bytes((count + 7) // 8)

    def invert(self, count: int) -> "IndexSet":
        """Returns the indexes below a number that are not in the set."""
        bounds = [0, *self.list_bounds(), count]
        pairs = zip(bounds[::2], bounds[1::2], strict=True)
        return IndexSet.from_bounds(
            [bound for pair in pairs if pair[0] < pair[1] for bound in pair]
        )
