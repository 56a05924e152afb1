"""Measures ownership balance and targets moved by membership changes.

Run: PYTHONPATH=src .venv/bin/python bench/ownership.py
"""

import collections
import typing

from quetzalswitch.targets import ownership

# Names only vary the hash; 200 sets of names stand for 200 installations.
TRIALS = 200


class Size(typing.NamedTuple):
    """Entries, targets and failure domains of an installation."""

    entries: int
    targets: int
    domains: int


class Trial(typing.NamedTuple):
    """Result for one set of names."""

    largest: int
    smallest: int
    moved_leave: int
    owned_by_leaver: int
    moved_join: int


SIZES = (Size(7, 24, 3), Size(20, 1000, 6))


def run_trial(size: Size, trial: int, method: str) -> Trial:
    members = [
        ownership.Member(f"entry-{trial}-{i}", f"i{i}", f"d{i % size.domains}")
        for i in range(size.entries)
    ]
    joiner = ownership.Member(f"entry-{trial}-new", "inew", "d0")
    targets = {
        f"target-{trial}-{i}": f"d{i % size.domains}"
        for i in range(size.targets)
    }
    before = assign(targets, members, method)
    counts = collections.Counter(before.values())
    numbers = [counts[member.incarnation] for member in members]
    left = assign(targets, members[1:], method)
    joined = assign(targets, [*members, joiner], method)
    return Trial(
        max(numbers),
        min(numbers),
        sum(before[name] != left[name] for name in targets),
        counts[members[0].incarnation],
        sum(before[name] != joined[name] for name in targets),
    )


def assign(
    targets: dict[str, str], members: list[ownership.Member], method: str
) -> dict[str, str]:
    if method == "bounded":
        return ownership.assign_owners(targets, members)
    return {
        name: ownership.choose_owner(name, domain, members)
        for name, domain in targets.items()
    }


def main() -> None:
    print(
        f"{'method':<10}{'entries':>8}{'targets':>8}{'even':>7}"
        f"{'largest':>9}{'worst':>7}{'smallest':>9}"
        f"{'left: owned':>12}{'moved':>7}{'joined: moved':>14}"
    )
    for size in SIZES:
        for method in ("rendezvous", "bounded"):
            trials = [run_trial(size, i, method) for i in range(TRIALS)]
            columns = [
                sum(column) / TRIALS for column in zip(*trials, strict=True)
            ]
            worst = max(trial.largest for trial in trials)
            even = size.targets / size.entries
            print(
                f"{method:<10}{size.entries:>8}{size.targets:>8}{even:>7.1f}"
                f"{columns[0]:>9.1f}{worst:>7}{columns[1]:>9.1f}"
                f"{columns[3]:>12.1f}{columns[2]:>7.1f}{columns[4]:>14.1f}"
            )


if __name__ == "__main__":
    main()
