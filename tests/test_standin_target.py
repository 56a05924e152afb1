"""Tests for the protocol rules and the faults of the stand-in target."""

import gevent
import geventhttpclient.client
import msgspec
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch.standins import machine as machines
from quetzalswitch.standins import target as targets

SERVICE = '{"run_ms": null}'


class MachineHarness:
    """A machine on a manual clock, with its history and object store."""

    def __init__(self, **options):
        self.clock = clocks.ManualClock()
        self.history = []
        self.objects = {}
        self.store_down = False
        options.setdefault("capacity", records.Resources(8.0, 8000, 1))
        self.machine = machines.Machine(
            machines.Options(**options),
            self.clock,
            self.put,
            self.history.append,
        )

    def put(self, key, body):
        if self.store_down:
            raise exceptions.StoreUnavailableError("down")
        self.objects[key] = body

    def claim(self, incarnation="a-1"):
        body = {"entry": "a", "incarnation": incarnation, "peer_address": ""}
        return self.machine.claim(body)

    def start(self, claim, *ids, all_or_none=False, window_ms=2000, **changes):
        starts = [
            make_start(i, claim["clock_ms"] + window_ms, **changes) for i in ids
        ]
        outcomes = self.machine.start(
            {
                "epoch": claim["epoch"],
                "boot_id": claim["boot_id"],
                "all_or_none": all_or_none,
                "starts": starts,
            }
        )
        return [outcome["reason"] for outcome in outcomes]

    def sync(
        self,
        claim,
        acknowledge=(),
        received=(),
        not_after_ms=None,
        running_version=0,
    ):
        if not_after_ms is None:
            not_after_ms = 10**9
        return self.machine.sync(
            {
                "epoch": claim["epoch"],
                "boot_id": claim["boot_id"],
                "not_after_ms": not_after_ms,
                "acknowledge": list(acknowledge),
                "received": list(received),
                "running_version": running_version,
                "wait_ms": 0,
            }
        )

    def run(self, seconds):
        gevent.sleep(0)
        self.clock.advance(seconds)
        gevent.sleep(0)

    def events(self):
        return [(item["event"], item["attempt_id"]) for item in self.history]


def make_start(attempt_id, not_after_ms, payload=SERVICE, cores=1.0):
    return {
        "attempt_id": attempt_id,
        "request_key": f"team/{attempt_id}",
        "team": "team",
        "holder": "a-1",
        "home": "a-1",
        "size": {"cores": cores, "memory_mb": 100, "accelerators": 0},
        "payload": payload,
        "not_after_ms": not_after_ms,
        "lease_ms": 10_000,
        "task_index": 0,
        "run_time_s": None,
        "trace_parent": "",
    }


@pytest.fixture
def harness():
    return MachineHarness()


class TestControlLease:
    """Grant, renewal and release of the control lease."""

    def test_second_entry_waits_for_lease_expiry(self, harness):
        """Guards against two entries that place tasks on the same target."""
        first = harness.claim()
        refused = harness.claim("b-1")
        assert not refused["granted"]
        assert refused["holder"] == "a-1"
        harness.run(4.0)
        second = harness.claim("b-1")
        assert second["granted"]
        assert second["epoch"] > first["epoch"]
        with pytest.raises(exceptions.StaleEpochError):
            harness.start(first, "x")
        with pytest.raises(exceptions.StaleEpochError):
            harness.sync(first)
        assert harness.history == []

    def test_expired_lease_is_not_renewed(self, harness):
        """Guards against a paused holder that renews an expired lease."""
        claim = harness.claim()
        harness.run(4.0)
        with pytest.raises(exceptions.StaleEpochError):
            harness.sync(claim)

    def test_late_sync_renews_nothing(self, harness):
        """Guards against a delayed sync that extends a lost task's lease."""
        claim = harness.claim()
        harness.run(3.0)
        with pytest.raises(exceptions.StaleEpochError):
            harness.sync(claim, not_after_ms=claim["clock_ms"] + 2000)
        harness.run(1.0)
        assert harness.claim("b-1")["granted"]

    def test_release_frees_the_target_at_once(self, harness):
        """Guards against a handover that waits for the lease to expire."""
        claim = harness.claim()
        harness.machine.release(
            {"epoch": claim["epoch"], "boot_id": claim["boot_id"]}
        )
        assert harness.claim("b-1")["granted"]


class TestStarts:
    """Reasons for which the target rejects a start."""

    def test_late_start_is_refused(self, harness):
        """Guards against a start that runs after its sender abandoned it."""
        claim = harness.claim()
        harness.run(2.1)
        assert harness.start(claim, "x") == ["late"]

    def test_duplicate_start_is_refused_also_after_its_end(self, harness):
        """Guards against an attempt that runs twice."""
        claim = harness.claim()
        assert harness.start(claim, "x", payload="text") == [""]
        assert harness.start(claim, "x") == ["duplicate"]
        harness.run(1.0)
        assert harness.start(claim, "x") == ["duplicate"]
        assert harness.events() == [("start", "x"), ("end", "x")]

    def test_fence_prevents_the_start_of_an_unseen_attempt(self, harness):
        """Guards against a late start of an attempt reported as not run."""
        claim = harness.claim()
        assert harness.machine.fence("x")["state"] == "never_seen"
        assert harness.start(claim, "x") == ["fenced"]
        assert harness.start(claim, "y") == [""]
        assert harness.machine.fence("y")["state"] == "running"

    def test_neither_size_nor_slots_are_overcommitted(self, harness):
        """Guards against starts beyond the capacity or the slots of a VM."""
        claim = harness.claim()
        reasons = harness.start(claim, "a", "b", "c", cores=3.0)
        assert reasons == ["", "", "no_room"]
        assert harness.start(claim, *"defghijk", cores=0.1)[5:] == [
            "",
            "no_slot",
            "no_slot",
        ]

    @pytest.mark.parametrize(
        ("ids", "cores", "reason"),
        [("ab", 5.0, "no_room"), ("abcdefghi", 0.1, "no_slot")],
    )
    def test_gang_starts_whole_or_not_at_all(self, harness, ids, cores, reason):
        """Guards against a partly started gang that wastes slots."""
        claim = harness.claim()
        reasons = harness.start(claim, *ids, all_or_none=True, cores=cores)
        assert set(reasons) == {reason}
        assert harness.history == []
        assert harness.start(claim, "a", "b", all_or_none=True) == ["", ""]

    def test_leaving_target_refuses_starts(self, harness):
        """Guards against new tasks on a VM that is about to be removed."""
        claim = harness.claim()
        harness.machine.leaving = True
        assert harness.start(claim, "x") == ["leaving"]


class TestTasks:
    """Task leases, results, stops, usage reports and restarts."""

    def test_task_stops_when_its_lease_is_not_renewed(self, harness):
        """Guards against a task that still runs while placed elsewhere."""
        claim = harness.claim()
        harness.start(claim, "x")
        harness.run(3.0)
        harness.sync(claim)
        harness.run(9.9)
        assert harness.events() == [("start", "x")]
        harness.run(0.2)
        expiry = harness.history[-1]
        assert expiry["event"] == "lapse"
        assert expiry["wall_ms"] - harness.history[0]["wall_ms"] == 13_000
        assert harness.claim()["finished"][0]["ended"] == "lapsed"

    def test_lease_expires_during_a_pause_of_the_target(self, harness):
        """Guards against a task that continues when its paused VM resumes."""
        claim = harness.claim()
        harness.start(claim, "x", payload='{"run_ms": 12000}')
        harness.machine.pause(60.0)
        harness.run(61.0)
        assert harness.events()[-1] == ("lapse", "x")

    def test_result_is_repeated_until_acknowledged(self, harness):
        """Guards against a result that is lost because one answer is lost."""
        claim = harness.claim()
        harness.start(claim, "x", payload="text")
        harness.run(1.0)
        for _ in range(2):
            assert harness.sync(claim)["finished"][0]["body"] == "text"
        assert harness.sync(claim, received=["x"])["finished"] == []
        claim = harness.claim()
        assert claim["finished"][0]["attempt_id"] == "x"
        assert claim["finished_reports"][0]["request_key"] == "team/x"
        assert harness.sync(claim, acknowledge=["x"])["finished"] == []
        assert harness.claim()["finished"] == []

    def test_restart_loses_tasks_and_refuses_the_old_boot(self, harness):
        """Guards against an old epoch that is accepted after a restart."""
        claim = harness.claim()
        harness.start(claim, "x")
        harness.machine.boot()
        again = harness.claim()
        assert again["epoch"] == claim["epoch"]
        assert again["boot_id"] != claim["boot_id"]
        assert again["running"] == []
        with pytest.raises(exceptions.StaleEpochError):
            harness.start(claim, "y")

    def test_large_output_waits_for_the_object_store(self, harness):
        """Guards against a reported result whose body was never stored."""
        claim = harness.claim()
        payload = '{"run_ms": 50, "output_bytes": 100000}'
        harness.store_down = True
        harness.start(claim, "x", payload=payload)
        harness.run(1.0)
        assert harness.sync(claim)["finished"] == []
        harness.store_down = False
        harness.run(1.0)
        result = harness.sync(claim)["finished"][0]
        body = harness.objects[result["object_key"]]
        assert len(body) == result["length_bytes"] == 100_000
        assert records.digest_body(body) == result["digest"]

    @pytest.mark.parametrize(
        ("mode", "ended"),
        [("stop", "stopped"), ("checkpoint", "checkpointed")],
    )
    def test_stop_frees_the_slot(self, harness, mode, ended):
        """Guards against a preempted task that keeps its capacity."""
        claim = harness.claim()
        harness.start(claim, "x", cores=8.0)
        body = {"epoch": claim["epoch"], "mode": mode}
        harness.machine.stop("x", body)
        assert harness.sync(claim)["finished"][0]["ended"] == ended
        assert harness.start(claim, "y", cores=8.0) == [""]

    def test_usage_lags_and_differs_from_the_declared_size(self, harness):
        """Guards against a policy tested only with exact, immediate usage."""
        claim = harness.claim()
        payload = '{"run_ms": null, "use_cores": 2.5, "use_memory_mb": 9}'
        harness.start(claim, "x", payload=payload)
        assert harness.sync(claim)["running"][0]["usage"]["cores"] == 1.0
        harness.run(2.5)
        report = harness.sync(claim)["running"][0]
        assert report["usage"]["cores"] == 2.5
        assert report["usage"]["memory_mb"] == 9
        assert report["usage_age_ms"] == 500

    def test_reports_are_left_out_until_the_set_changes(self, harness):
        """Guards against a start or end not reported to the holder."""
        claim = harness.claim()
        harness.start(claim, "x")
        first = harness.sync(claim)
        known = first["running_version"]
        assert harness.sync(claim, running_version=known)["running"] is None
        harness.start(claim, "y")
        second = harness.sync(claim, running_version=known)
        ids = [report["attempt_id"] for report in second["running"]]
        assert ids == ["x", "y"]
        body = {"epoch": claim["epoch"], "mode": "stop"}
        harness.machine.stop("x", body)
        harness.machine.stop("y", body)
        known = second["running_version"]
        assert harness.sync(claim, running_version=known)["running"] == []


class TestServer:
    """The target protocol over HTTP."""

    @pytest.fixture
    def client(self, tmp_path):
        standin = targets.StandinTarget(history_path=tmp_path / "history")
        host, _, port = standin.start().rpartition(":")
        with_client = geventhttpclient.client.HTTPClient(host, int(port))
        yield with_client
        with_client.close()
        standin.stop()

    def send(self, client, method, path, body):
        response = client.request(method, path, msgspec.json.encode(body))
        return response.status_code, msgspec.json.decode(response.read())

    def test_unknown_field_is_refused(self, client):
        """Guards against a misspelt field that is ignored without an error."""
        body = {"entry": "a", "incarnation": "a-1", "peer_address": ""}
        assert self.send(client, "POST", "/v1/claim", body)[0] == 200
        body["epok"] = 1
        assert self.send(client, "POST", "/v1/claim", body)[0] == 400

    def test_faults_and_history(self, client, tmp_path):
        """Guards against faults without effect and an unwritten history."""
        path = "/faults/target"
        assert self.send(client, "PUT", path, {"fail_all": True})[0] == 200
        body = {"entry": "a", "incarnation": "a-1", "peer_address": ""}
        _, claim = self.send(client, "POST", "/v1/claim", body)
        starts = {
            "epoch": claim["epoch"],
            "boot_id": claim["boot_id"],
            "all_or_none": False,
            "starts": [make_start("x", claim["clock_ms"] + 2000, "text")],
        }
        assert self.send(client, "POST", "/v1/starts", starts)[0] == 200
        sync = {
            "epoch": claim["epoch"],
            "boot_id": claim["boot_id"],
            "not_after_ms": claim["clock_ms"] + 2000,
            "acknowledge": [],
            "received": [],
            "running_version": 0,
            "wait_ms": 2000,
        }
        _, answer = self.send(client, "POST", "/v1/sync", sync)
        assert not answer["finished"][0]["ok"]
        lines = (tmp_path / "history").read_bytes().splitlines()
        events = [msgspec.json.decode(line)["event"] for line in lines]
        assert events == ["start", "end"]
