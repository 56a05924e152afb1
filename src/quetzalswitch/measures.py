"""Reads counts and gauges from the parts of an entry process.

The entry process calls these functions before metrics are rendered, so the
parts need not know the metrics.
"""

import collections
import typing
from collections.abc import Collection
from collections.abc import Mapping

from quetzalswitch import cluster as clusters
from quetzalswitch import metrics as metric_sets
from quetzalswitch import packing
from quetzalswitch import retries
from quetzalswitch import shares as share_table
from quetzalswitch import traffic
from quetzalswitch.peers import mesh
from quetzalswitch.storage import outcomes

TARGET_STATES: typing.Final = ("usable", "leaving", "out", "quarantined")


def measure_placement(
    metrics: metric_sets.Metrics,
    cluster: clusters.Cluster,
    shares: share_table.Shares,
    waiting: Collection[str],
) -> None:
    """Sets the gauges of targets, packing, shares and limits.

    Args:
        metrics: Metrics of the process.
        cluster: Targets that the scheduler controls.
        shares: Use of these targets by team.
        waiting: Teams with requests waiting.
    """
    states = dict.fromkeys(TARGET_STATES, 0)
    usable = []
    for node in cluster.nodes.values():
        state = _find_state(node)
        states[state] += 1
        if state == "usable":
            usable.append(node)
    metrics.replace("quetzal_targets", states)
    metrics.replace("quetzal_packing_ratio", find_packing(usable))
    metrics.replace(
        "quetzal_share_distance_ratio", find_distances(shares, waiting)
    )
    metrics.replace(
        "quetzal_limit_excess_tasks",
        {use.name: max(0, use.charged - use.allowance) for use in shares},
    )


def find_packing(nodes: Collection[packing.Node]) -> dict[str, float]:
    """Returns the reserved part of the capacity for each resource."""
    capacity: collections.Counter = collections.Counter()
    free: collections.Counter = collections.Counter()
    for node in nodes:
        capacity.update(node.target.capacity._asdict())
        capacity["slots"] += node.target.slots
        free.update(node.free._asdict())
        free["slots"] += node.free_slots
    return {
        resource: 1.0 - free[resource] / total
        for resource, total in capacity.items()
        if total
    }


def find_distances(
    shares: share_table.Shares, waiting: Collection[str]
) -> dict[str, float]:
    """Returns how far each team is from its share of the capacity.

    A share applies only while somebody waits, and a team that wants less than
    its share is not below it.
    """
    names = [u.name for u in shares if u.slots or u.name in waiting]
    if not waiting:
        return dict.fromkeys(names, 0.0)
    due = shares.entitlements(names)
    distances = {}
    for name in names:
        distance = shares.dominant_share(shares.team(name)) - due[name]
        wants_more = name in waiting
        distances[name] = distance if wants_more else max(0.0, distance)
    return distances


def measure_store(
    metrics: metric_sets.Metrics, counts: outcomes.Counts, failures: int
) -> None:
    """Sets the counters of the table service.

    Args:
        metrics: Metrics of the process.
        counts: Work of the committer.
        failures: Accesses without a usable answer.
    """
    name = "quetzal_store_writes_total"
    metrics.set_total(name, counts.transactions, outcome="sent")
    metrics.set_total(name, counts.resends, outcome="resent")
    metrics.set_total(name, counts.conflicts, outcome="conflict")
    metrics.set_total("quetzal_store_failures_total", failures)


def measure_traffic(
    metrics: metric_sets.Metrics, totals: Mapping[str, traffic.Counter]
) -> None:
    """Sets the counters of control bytes.

    Args:
        metrics: Metrics of the process.
        totals: Bytes exchanged, by party: peers, targets, platform.
    """
    for party, total in totals.items():
        metrics.set_total(
            "quetzal_control_sent_bytes_total", total.sent_bytes, party=party
        )
        metrics.set_total(
            "quetzal_control_received_bytes_total",
            total.received_bytes,
            party=party,
        )


def measure_peers(
    metrics: metric_sets.Metrics,
    counts: Mapping[tuple[str, str], mesh.Count],
) -> None:
    """Sets the counters of messages between entry processes.

    Args:
        metrics: Metrics of the process.
        counts: Messages and bytes by message name and direction.
    """
    dropped = sum(
        count.messages
        for (_, direction), count in counts.items()
        if direction == "dropped"
    )
    metrics.set_total("quetzal_peer_messages_dropped_total", dropped)


def measure_retries(
    metrics: metric_sets.Metrics, table: retries.Retries, resends: int
) -> None:
    """Sets the counters of retries and the gauge of the budget.

    Args:
        metrics: Metrics of the process.
        table: Retries of requests whose task failed.
        resends: Transactions sent again to the platform.
    """
    name = "quetzal_retries_total"
    metrics.set_total(name, table.made, party="targets")
    metrics.set_total(name, resends, party="platform")
    metrics.set_total("quetzal_retries_denied_total", table.denied)
    metrics.set("quetzal_retry_tokens", table.tokens)


def _find_state(node: packing.Node) -> str:
    if node.out_of_service:
        return "out"
    if node.target.leaving:
        return "leaving"
    return "quarantined" if node.quarantined else "usable"
