"""Capacity of the whole fleet, used to refuse requests that never fit."""

from quetzalswitch import exceptions
from quetzalswitch import records


class Fleet:
    """Capacities of all targets seen so far, local and of other entries.

    A lost target still counts, since a request that needs it can run once the
    target returns.
    """

    def __init__(self):
        self._shapes: dict[str, tuple[records.Resources, int]] = {}
        # Capacities that fit into no other capacity. The list is short, since
        # most targets have the same capacity.
        self._largest: list[records.Resources] = []

    def observe(self, targets: list[records.Target]) -> None:
        """Records the capacity and slots of targets."""
        changed = False
        for target in targets:
            shape = (target.capacity, target.slots)
            if self._shapes.get(target.target_id) != shape:
                self._shapes[target.target_id] = shape
                changed = True
        if changed:
            self._find_largest()

    def largest(self) -> list[records.Resources]:
        """Returns the capacities that fit into no other capacity."""
        return self._largest

    def check(self, request: records.Request) -> None:
        """Checks that a request would fit if all targets were empty.

        Raises:
            RequestError: The request is too large (`never_fits`).
        """
        if not self._shapes:
            return
        size = request.size
        if not any(size.fits_in(capacity) for capacity in self._largest):
            raise exceptions.RequestError(
                exceptions.ErrorKind.NEVER_FITS,
                f"a task of {describe(size)} is larger than any target;"
                f" the largest have {self._describe_largest()}",
                field="cores",
            )
        if request.task_count > 1:
            self._check_gang(request)

    def _check_gang(self, request: records.Request) -> None:
        fitting = 0
        for capacity, slots in self._shapes.values():
            fitting += count_fits(request.size, capacity, slots)
            if fitting >= request.task_count:
                return
        raise exceptions.RequestError(
            exceptions.ErrorKind.NEVER_FITS,
            f"{request.task_count} tasks of {describe(request.size)} do not"
            f" fit on all targets together; {fitting} do",
            field="tasks",
        )

    def _find_largest(self) -> None:
        sizes = {capacity for capacity, _ in self._shapes.values()}
        self._largest = [
            size
            for size in sizes
            if not any(size.fits_in(other) for other in sizes if other != size)
        ]

    def _describe_largest(self) -> str:
        return "; ".join(sorted(map(describe, self._largest)))


def count_fits(
    size: records.Resources, capacity: records.Resources, slots: int
) -> int:
    """Returns how many tasks of a size fit on an empty target."""
    counts = [slots]
    if size.cores > 0:
        counts.append(int((capacity.cores + 1e-9) / size.cores))
    if size.memory_mb > 0:
        counts.append(capacity.memory_mb // size.memory_mb)
    if size.accelerators > 0:
        counts.append(capacity.accelerators // size.accelerators)
    return min(counts)


def describe(size: records.Resources) -> str:
    """Formats a size for messages."""
    text = f"{size.cores:g} cores and {size.memory_mb} MB"
    if size.accelerators:
        text += f" and {size.accelerators} accelerators"
    return text
