"""A simulated cluster with two racks, one of which holds the data."""

import decider_stage

NEAR = "r1-1"
FAR = "r1-2"
SPREAD_FACTOR = 2.0
STEP_S = 0.1


def make_cluster(near=1, far=3, spread_factor=SPREAD_FACTOR, cpu=4000):
    """Returns a cluster with targets n-0, n-1, ... near and f-0, ... far."""
    cluster = decider_stage.SimulatedCluster(targets=0)
    cluster.decider.spread_factor = spread_factor
    for number in range(near):
        cluster.add_target(f"n-{number}", cpu, rack=NEAR)
    for number in range(far):
        cluster.add_target(f"f-{number}", cpu, rack=FAR)
    return cluster


def make_step(count=1, cpu=4000, rack=NEAR, estimate_s=1.0, **fields):
    return decider_stage.make_step(
        count, cpu, rack=rack, estimate_ms=1000 * estimate_s, **fields
    )
