"""Why a request waits, in words for operators and callers."""

from quetzalswitch import cluster as clusters
from quetzalswitch import fleet
from quetzalswitch import queues
from quetzalswitch import reservations as reservation_table
from quetzalswitch import shares as share_table
from quetzalswitch import waiting as waiting_table


def explain(
    request_key: str,
    waiting: queues.QueueSet,
    cluster: clusters.Cluster,
    shares: share_table.Shares,
    holds: reservation_table.Holds,
    later: waiting_table.Waiting,
) -> str:
    """Returns why a request waits or where it runs."""
    entry = waiting.entries.get(request_key)
    if entry is not None:
        return _explain_entry(entry, cluster, shares, holds)
    attempts = cluster.by_request.get(request_key)
    if attempts:
        targets = sorted(
            {cluster.running[name].attempt.target_id for name in attempts}
        )
        return f"running on {', '.join(targets)}"
    if later.is_delayed(request_key):
        return "waits for its retry delay or for earlier attempts to end"
    return "not known here"


def _explain_entry(
    entry: queues.Entry,
    cluster: clusters.Cluster,
    shares: share_table.Shares,
    holds: reservation_table.Holds,
) -> str:
    request = entry.request
    use = shares.team(request.team)
    hold = holds.current
    if hold is not None and hold.entry is entry:
        return (
            f"capacity on {len(hold.needs)} targets is held back for it,"
            f" at most until {hold.end_s:.0f} s on the clock"
        )
    match entry.lane.state:
        case queues.LaneState.CAPPED:
            return (
                f"team {request.team} runs {use.charged} tasks of an"
                f" allowance of {use.allowance}"
            )
        case queues.LaneState.BLOCKED:
            tasks = request.task_count
            return (
                f"no room for {tasks} task{'s' if tasks > 1 else ''} of"
                f" {fleet.describe(entry.size)}; {cluster.free_slots} of"
                f" {cluster.slots} slots are open"
            )
        case _:
            share = shares.key(request.team)
            return f"waits for its turn in tier {entry.tier.name}, {share:.3f}"
