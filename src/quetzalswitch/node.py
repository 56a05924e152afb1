"""An entry process on the users' platform."""

import os
import signal
import sys
import time
import typing

import gevent
import gevent.event
import msgspec

from quetzalswitch import bounds
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelisteners
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import confirmation
from quetzalswitch.acceptance import intake as intakes
from quetzalswitch.acceptance import operator_rows
from quetzalswitch.acceptance import relay
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.execution import advice_routing
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import neighbours
from quetzalswitch.peers import peer as peers
from quetzalswitch.platform import api
from quetzalswitch.platform import nodesettings
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import election
from quetzalswitch.recovery import handover
from quetzalswitch.recovery import leader_metrics
from quetzalswitch.recovery import leadership as leaderships
from quetzalswitch.recovery import tables

# The load balancer removes an entry after two failed checks, one second apart.
DRAIN_DELAY_S: typing.Final = 2.2
# Part of the time between SIGTERM and SIGKILL reserved for exiting.
EXIT_MARGIN_S: typing.Final = 0.6
STORE_OK_MAX_AGE_S: typing.Final = 2.0
# Answer to a query of a job's phase; empty if the job is not known.
PhaseAnswer = typing.Literal["", *(phase.value for phase in jobs.Phase)]
# Other processes can't connect to this one before its row is stored.
REGISTER_RETRY_INTERVAL_S: typing.Final = 0.2
# The counts come with heartbeats; callers accept counts that are 2 s old.
PENDING_COUNT_MAX_AGE_S: typing.Final = 1.8


class Node:
    """An entry process: creates and connects its components."""

    def __init__(self, settings: nodesettings.NodeSettings):
        self._settings = settings
        self._clock = clocks.SystemClock()
        self._lifetime = f"{time.time_ns():x}"
        self._log = nodelog.NodeLog(
            self._clock, settings.node_name, self._lifetime[-8:]
        )
        self._metrics = nodemetrics.NodeMetrics(self._log)
        self._metrics.call_before_render(self._set_gauges)
        self._store = stores.Store(
            settings.store_address, self._clock, self._metrics
        )
        self._links = peer_links.Links(
            settings.node_name,
            settings.ip,
            settings.peer_port,
            self._clock,
            self._log,
            self._make_heartbeat,
            bounds.find_link_sums(settings.clients),
        )
        self._election = election.Election(
            settings.node_name,
            self._lifetime,
            self._store,
            self._links,
            self._clock,
            self._log,
            settings.power,
            self._begin_leadership,
            self._end_leadership,
        )
        self._leadership: leaderships.Leadership | None = None
        self._election.can_yield = lambda: (
            self._leadership is not None and self._leadership.decider.reconciled
        )
        self._store_relay = relay.StoreRelay(
            self._store, self._links, self._clock, self._log
        )
        self._asker = advice_routing.AdviceRouter(
            settings.node_name,
            settings.advice_address,
            self._links,
            self._store,
            self._clock,
            self._log,
            self._election.find_unheard_epoch,
        )
        self._operator_rows = operator_rows.OperatorRows(
            self._store,
            self._clock,
            self._log,
            self._apply_catalogue,
            self._apply_evacuated,
        )
        self._intake = intakes.Intake(
            self._store,
            intakes.PeerCalls(
                self._send_job,
                self._send_cancel,
                self._query_phase,
                self._store_relay.relay_job,
                self._store_relay.relay_cancel,
                self._store_relay.can_hedge,
                self._store_relay.can_relay,
                self._store_relay.is_isolated,
            ),
            self._clock,
            self._log,
            self._metrics,
            confirmation.Confirmation(
                self._clock,
                settings.configuration_apply_s,
                self._view_configuration,
                self._operator_rows.refresh,
            ),
        )
        self._cluster_follower = tables.Follower(
            self._store,
            tables.CLUSTER_TABLE,
            [tables.CLUSTER_PART],
            self._clock,
            self._log,
            self._apply_cluster_rows,
            on_confirmed=self._confirm_leadership,
        )
        self._api = api.CallerApi(
            self._intake,
            self._clock,
            self._log,
            self._metrics,
            self._count_pending,
        )
        self._listeners = nodelisteners.NodeListeners(
            settings,
            self._clock,
            self._log,
            self._metrics,
            self._api,
            self._is_ready,
        )
        self._hand_over = handover.HandOver(
            settings.node_name, self._links, self._log
        )
        self._leaving = False
        self._pending: dict[str, int] | None = None
        self._members: dict[str, neighbours.Member] = {}

    def run(self) -> None:
        """Serves until a planned stop is complete."""
        self._log.start()
        self._log.note(
            "started", role="entry", domain=self._settings.failure_domain
        )
        self._links.handlers = {
            "job": self._handle_job,
            "cancel": self._handle_cancel,
            "phase": self._handle_phase_query,
            "advise": self._asker.handle_request,
            "hand_over": self._handle_hand_over,
            "probe_store": self._election.handle_probe,
            "store_job": self._handle_store_job,
            "store_cancel": self._handle_store_cancel,
        }
        self._links.on_change = self._on_links_changed
        self._links.start()
        greenlets.spawn_loop(self._register, self._log)
        greenlets.spawn_loop(self._store_relay.watch, self._log)
        self._operator_rows.follower.start()
        self._cluster_follower.start()
        self._election.start()
        self._asker.start()
        self._listeners.start()
        stopping = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        stopping.wait()
        self._drain()

    def _drain(self) -> None:
        began_s = self._clock.now()
        limit_s = self._settings.shutdown_grace_s - EXIT_MARGIN_S
        self._leaving = True
        self._api.draining = True
        self._election.leaving = True
        self._log.note("stopping", leading=self._leadership is not None)
        # The leader keeps scheduling while another entry takes over.
        gevent.sleep(DRAIN_DELAY_S)
        self._election.resign("planned stop")
        self._listeners.close_callers()
        while self._api.in_flight and self._clock.now() - began_s < limit_s:
            gevent.sleep(0.02)
        self._log.note("stopped", in_flight=self._api.in_flight)
        self._log.flush()

    def _reload(self) -> None:
        try:
            settings = nodesettings.read()
        except exceptions.SettingsError as error:
            self._log.note("settings_refused", error=str(error))
            return
        changed = [
            name
            for name, old, new in zip(
                settings._fields, self._settings, settings, strict=True
            )
            if old != new
        ]
        # Open connections use the addresses and bounds, so changes take effect
        # only after a restart.
        self._log.note("settings_read", changed=changed)

    def _is_ready(self) -> bool:
        if self._intake.catalogue is None or self._leaving:
            return False
        return self._store_relay.can_serve()

    def _set_gauges(self) -> None:
        leader = self._election.leader
        current = (
            self._leadership
            if self._leadership and self._leadership.ready
            else None
        )
        gauges = {
            "requests_in_flight": self._api.in_flight,
            "configuration_version": self._operator_rows.version,
            "epoch": leader.epoch if leader is not None else 0,
            "leading": int(self._leadership is not None),
            "peers_alive": len(self._links.alive()),
            "leader_heard_age_seconds": self._links.leader_heard_age_s,
            "store_answer_age_seconds": self._store.answer_age_s,
        }
        for name, value in gauges.items():
            self._metrics.set(f"quetzal_node_{name}", value)
        self._metrics.replace("quetzal_node_links", self._links.count_states())
        followers = (self._operator_rows.follower, self._cluster_follower)
        ages = {follower.table: follower.age_s for follower in followers}
        ages |= current.read_table_ages() if current else {}
        self._metrics.replace("quetzal_node_table_age_seconds", ages)
        pending = current.decider.count_pending() if current else {}
        self._metrics.replace("quetzal_node_jobs_pending", pending)
        waits = current.decider.ready.count_waiting() if current else {}
        self._metrics.replace("quetzal_node_steps_waiting", waits)
        runs = leader_metrics.count_runs(current.decider) if current else {}
        self._metrics.replace("quetzal_node_runs", runs)
        targets = {}
        if current:
            now_s = self._clock.now()
            targets = leader_metrics.count_targets(current.decider, now_s)
        self._metrics.replace("quetzal_node_targets", targets)
        speeds = leader_metrics.read_speeds(current.decider) if current else {}
        self._metrics.replace("quetzal_node_target_speed", speeds)
        known = leader_metrics.count_speeds(current.decider) if current else {}
        self._metrics.replace("quetzal_node_speeds", known)

    # Rows

    def _register(self) -> None:
        row = tables.MemberRow(
            self._settings.node_name,
            f"{self._settings.ip}:{self._settings.peer_port}",
            self._lifetime,
            self._settings.power,
            self._settings.failure_domain,
        )
        put = stores.Put(
            tables.CLUSTER_TABLE,
            tables.NODE_PREFIX + row.name,
            msgspec.msgpack.encode(row),
        )
        while True:
            try:
                self._store.transact(tables.CLUSTER_PART, [put])
                self._log.note("registered")
                return
            except exceptions.StoreUnavailableError as error:
                self._log.note("not_registered", error=str(error))
                gevent.sleep(REGISTER_RETRY_INTERVAL_S)

    def _apply_catalogue(self, value: catalogue.Catalogue) -> None:
        self._intake.catalogue = value
        self._listeners.apply_catalogue(value)
        if self._leadership is not None:
            self._leadership.set_catalogue(value)

    def _view_configuration(self) -> confirmation.ConfigurationView:
        versions = [p.heartbeat.version for p in self._links.alive()]
        return self._operator_rows.view(max(versions, default=0))

    def _apply_evacuated(self, failure_domains: set[str]) -> None:
        if self._leadership is not None:
            self._leadership.set_evacuated(failure_domains)

    def _apply_cluster_rows(self, rows: list[stores.Row], full: bool) -> None:
        if full:
            self._members.clear()
        for row in rows:
            if row.key == tables.LEADER_KEY:
                self._election.apply_leader_row(row)
            elif row.key.startswith(tables.NODE_PREFIX):
                name = row.key.removeprefix(tables.NODE_PREFIX)
                member = tables.read_member(row, self._log)
                if member is not None:
                    self._members[name] = member
                elif row.removed:
                    self._members.pop(name, None)
        self._links.set_members(self._members)

    def _confirm_leadership(self, sent: tenures.Moment) -> None:
        if self._leadership is not None:
            self._leadership.tenure.confirm(sent)

    # Links

    def _make_heartbeat(self) -> peers.Heartbeat:
        claim = self._election.claim
        leader = self._election.leader
        pending = None
        if self._leadership is not None and self._leadership.ready:
            pending = self._pending = self._leadership.count_pending()
        return peers.Heartbeat(
            name=self._settings.node_name,
            lifetime=self._lifetime,
            epoch=leader.epoch if leader is not None else 0,
            leading=claim is not None,
            store_ok=self._store.healthy
            and self._store.answer_age_s < STORE_OK_MAX_AGE_S,
            leaving=self._leaving,
            pending=pending,
            version=self._operator_rows.version,
            resigned=self._election.resigned,
            power=self._settings.power,
            store_lag_s=round(self._store.latency_s, 3),
        )

    def _on_links_changed(self) -> None:
        self._election.check_soon()
        if self._leadership is not None:
            self._leadership.set_advisers(self._asker.list_advisers())

    def _leader_name(self) -> str | None:
        leader = self._election.leader
        if leader is None or leader.name == self._settings.node_name:
            return None
        return leader.name

    def _send_job(self, data: bytes) -> None:
        if self._leadership is not None:
            self._leadership.add_job(submissions.decode(data))
            return
        leader = self._leader_name()
        if leader is not None:
            self._links.notify(leader, "job", data)

    def _handle_job(self, _: str, data: bytes) -> None:
        if self._leadership is not None:
            self._leadership.add_job(submissions.decode(data))

    def _send_cancel(self, job_id: str) -> None:
        if self._leadership is not None:
            self._leadership.cancel(job_id)
            return
        leader = self._leader_name()
        if leader is not None:
            self._links.notify(leader, "cancel", job_id)

    def _handle_cancel(self, _: str, job_id: str) -> None:
        if self._leadership is not None:
            self._leadership.cancel(job_id)

    def _query_phase(self, job_id: str, timeout_s: float) -> jobs.Phase | None:
        if self._leadership is not None:
            return self._leadership.read_phase(job_id)
        leader = self._leader_name()
        if leader is None or not self._links.is_alive(leader):
            raise exceptions.TransportError("no reachable leader")
        answer = self._links.call(
            leader, "phase", job_id, timeout_s, PhaseAnswer
        )
        return jobs.Phase(answer) if answer else None

    def _handle_phase_query(self, _: str, job_id: str) -> str:
        if self._leadership is None:
            return ""
        phase = self._leadership.read_phase(job_id)
        return phase.value if phase is not None else ""

    def _count_pending(self, queue_name: str) -> int:
        if self._leadership is not None and self._pending is not None:
            return self._pending.get(queue_name, 0)
        leader = self._election.leader
        peer = self._links.peers.get(leader.name) if leader else None
        pending, age_s = self._election.read_stored_pending()
        if (
            peer is not None
            and peer.heartbeat is not None
            and peer.heartbeat.leading
            and self._clock.now() - peer.received_s < age_s
        ):
            age_s = self._clock.now() - peer.received_s
            pending = peer.heartbeat.pending
        if pending is None or age_s > PENDING_COUNT_MAX_AGE_S:
            raise exceptions.RequestError(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                "no recent count of the leader",
                retry_after_s=1.0,
            )
        return pending.get(queue_name, 0)

    def _handle_store_job(self, _: str, data: bytes) -> str:
        job_id = submissions.decode(data).id
        outcome = self._intake.store_job(job_id, data)
        if outcome is intakes.RelayOutcome.DONE:
            self._send_job(data)
        return outcome.value

    def _handle_store_cancel(self, _: str, job_id: str) -> str:
        outcome = self._intake.store_cancel(job_id)
        if outcome is intakes.RelayOutcome.DONE:
            self._send_cancel(job_id)
        return outcome.value

    # Leadership

    def _begin_leadership(self, claim: election.Claim) -> None:
        self._pending = None
        self._leadership = leaderships.Leadership(
            claim,
            self._store,
            self._clock,
            self._log,
            self._metrics,
            self._settings.lease_s,
            self._lifetime,
            self._asker.request_advice,
            self._election.resign,
            lambda: self._hand_over.request(claim),
            self._operator_rows.refresh,
            self._cluster_follower.refresh,
            self._settings.row_limit_bytes,
            self._settings.spread_factor,
        )
        if self._intake.catalogue is not None:
            self._leadership.set_catalogue(self._intake.catalogue)
        self._leadership.set_evacuated(set(self._operator_rows.evacuated))
        self._asker.begin_epoch(claim.epoch)
        self._on_links_changed()
        self._leadership.start()

    def _end_leadership(self, _: str) -> None:
        ended, self._leadership = self._leadership, None
        if ended is None:
            return
        ended.stop()
        self._asker.end_epoch()
        self._hand_over.record(ended)

    def _handle_hand_over(self, _: str, epoch: int) -> list:
        claim = self._election.claim
        if claim is not None and claim.epoch == epoch:
            self._election.resign("another entry requested the hand-over")
        return self._hand_over.answer(epoch)


def main() -> None:
    """Runs an entry process with the platform's settings file."""
    try:
        settings = nodesettings.read()
    except exceptions.SettingsError as error:
        sys.exit(f"quetzal-node: {error}")
    Node(settings).run()
    # Other greenlets have nothing left to do and must not delay the exit.
    os._exit(0)


if __name__ == "__main__":
    main()
