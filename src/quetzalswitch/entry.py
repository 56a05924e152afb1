"""The entry process: assembles the tasks and runs until stopped."""

import typing

import gevent
import gevent.event

from quetzalswitch import adoption as adoptions
from quetzalswitch import allowances
from quetzalswitch import bounds
from quetzalswitch import clock as clocks
from quetzalswitch import control as controls
from quetzalswitch import directory as directories
from quetzalswitch import escrow
from quetzalswitch import events
from quetzalswitch import following as followings
from quetzalswitch import freshness as freshnesses
from quetzalswitch import home as homes
from quetzalswitch import journal as journals
from quetzalswitch import listeners
from quetzalswitch import logs
from quetzalswitch import membership as memberships
from quetzalswitch import metrics as metric_sets
from quetzalswitch import observation
from quetzalswitch import operation
from quetzalswitch import placements
from quetzalswitch import placer as placers
from quetzalswitch import policy as policies
from quetzalswitch import reconstruction as recoveries
from quetzalswitch import records
from quetzalswitch import reports
from quetzalswitch import retention as retentions
from quetzalswitch import retries
from quetzalswitch import routing
from quetzalswitch import scheduler as schedulers
from quetzalswitch import schema
from quetzalswitch import service as services
from quetzalswitch import shutdown as shutdowns
from quetzalswitch import state as states
from quetzalswitch import statechanges
from quetzalswitch import tracing
from quetzalswitch import traffic
from quetzalswitch import web
from quetzalswitch.callers import api as callers_api
from quetzalswitch.operators import api as operators_api
from quetzalswitch.peers import heartbeats as heartbeat_tasks
from quetzalswitch.peers import mesh as meshes
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.storage import committer as committers
from quetzalswitch.storage import objects
from quetzalswitch.storage import table as tables
from quetzalswitch.storage import vms
from quetzalswitch.targets import link as links

EXIT_TASK_FAILED = 70
EXIT_SEALED = 75
UPKEEP_INTERVAL_S = 5.0
# Time for answers that are being written when a planned stop ends.
SERVER_STOP_S = 2.0


class EntryProcess:
    """One entry process; several can live in one operating-system process.

    Args:
        settings: Settings of the process.
        clock: Source of time.

    Attributes:
        incarnation: Unique for each start.
        callers_address: Where callers are served, once started.
        operators_address: Where operators are served, once started.
    """

    def __init__(
        self, settings: schema.Process, clock: clocks.Clock | None = None
    ):
        self.settings = settings
        self.clock = clock or clocks.SystemClock()
        self.incarnation = records.make_id(settings.entry_id)
        self.callers_address = settings.callers_address
        self.operators_address = settings.operators_address
        self.log = logs.Log(self.clock)
        self._stopped = gevent.event.Event()
        self.exit_code = 0
        self._servers: list[listeners.Server] = []
        self._greenlets: list[gevent.Greenlet] = []
        self.router = routing.Router(self)
        self.directory = directories.Directory(self)
        self.shutdown = shutdowns.Shutdown(self)
        self.platform_traffic = traffic.Counter()
        self.target_traffic = traffic.Counter()
        self._build_platform()
        self._build_peers()
        self._build_placing()
        self._build_home()
        self._build_services()

    def _build_platform(self) -> None:
        settings = self.settings
        common = (
            settings.platform_address,
            self.clock,
            settings.times.store_timeout_s,
        )
        counter = self.platform_traffic
        self.table = tables.TableClient(*common, counter=counter)
        self.objects = objects.ObjectClient(*common, counter=counter)
        self.vm_client = vms.VmClient(*common, counter=counter)

    def _build_peers(self) -> None:
        settings = self.settings
        self.mesh = meshes.Mesh(
            self.clock,
            settings.entry_id,
            self.incarnation,
            settings.peers_address,
            self.router.route,
        )
        self.membership = memberships.Membership(
            self.clock,
            settings.entry_id,
            self.incarnation,
            self.mesh.address,
        )
        # Slow reads of other tasks must not use up the committer's deadline.
        commit_table = tables.TableClient(
            settings.platform_address,
            self.clock,
            settings.times.store_timeout_s,
            lambda spent_s: self.observer.observe(
                "written", duration_s=spent_s
            ),
            self.platform_traffic,
        )
        self.committer = committers.Committer(
            self.clock,
            commit_table,
            settings.entry_id,
            self.incarnation,
            self.mesh.address,
            settings.store.commits_per_s,
            lambda: self.states.count_writers(),
        )
        self.freshness = freshnesses.Freshness(self.clock)
        self.following = followings.Following(
            self.clock,
            self.table,
            self.freshness,
            self.router.spread_configuration,
            settings.times.head_read_interval_s,
        )
        self.heartbeats = heartbeat_tasks.Heartbeats(
            self.clock,
            self.mesh,
            self.membership,
            self.mesh.address,
            lambda: self.states.find_load(self.shutdown.draining),
            self.router.handle_loss,
            settings.times.heartbeat_interval_s,
        )

    def _build_placing(self) -> None:
        settings = self.settings
        self.metrics = metric_sets.Metrics()
        self._closures = bounds.Reporter(
            self.clock,
            lambda reason: self.metrics.count(
                "quetzal_connections_closed_total", reason=reason
            ),
            lambda reason, address, more: self.log.write(
                "connection_closed", reason=reason, address=address, more=more
            ),
        )
        exporter = tracing.make_exporter(
            settings.tracing.otlp_endpoint, settings.entry_id, self.log
        )
        self.tracer = tracing.Tracer(
            self.clock,
            settings.entry_id,
            settings.tracing.stored_traces_count,
            exporter,
        )
        self.observer = observation.Observer(
            self.clock,
            self.metrics,
            self.tracer,
            lambda target_id: self.scheduler.cluster.find_domain(target_id),
        )
        self.ledger = allowances.Ledger()
        policy = policies.make_policy(schema.policy_values(settings.policy))
        self.scheduler = schedulers.Scheduler(
            self.clock, policy, self.incarnation
        )
        self.placer = placers.Placer(
            self.clock,
            self.scheduler,
            self.ledger,
            placements.Surroundings(
                incarnation=self.incarnation,
                is_fresh=self.is_fresh,
                to_home=lambda message: self.home.post(message),
                to_target=lambda target_id, command: self.control.post_command(
                    target_id, command
                ),
                to_recovery=lambda message: self.recovery.post(message),
                to_reporter=lambda message: self.reporter.post(message),
                send=self.mesh.send,
                find_peers=self.directory.find_peers,
                entry_of=self.directory.entry_of,
                knows_all_sizes=self.directory.knows_all_sizes,
                is_alive=self.directory.is_alive,
                report_control=lambda query, keys: self.states.report_control(
                    query, keys
                ),
                observe=self.observer.observe,
            ),
        )
        self.control = controls.Control(
            self.clock,
            self.vm_client,
            controls.Surroundings(
                incarnation=self.incarnation,
                entry_id=settings.entry_id,
                make_link=self._make_link,
                find_members=self.directory.find_members,
                entry_of=self.directory.entry_of,
                stale_for_s=self.directory.stale_for_s,
                send=self.mesh.send,
                to_placer=self.placer.post,
            ),
        )
        self.allowance_task = escrow.AllowanceTask(
            self.clock,
            self.ledger,
            self.committer,
            self.table.read_rows,
            self.incarnation,
            self.scheduler.queued,
            lambda team, held: self.placer.post(
                events.AllowanceChanged(team, held)
            ),
            lambda team, count: self.placer.post(
                events.AllowanceExceeded(team, count)
            ),
        )

    def _build_home(self) -> None:
        self.journal = journals.Journal(
            self.clock,
            self.committer,
            self.table,
            self.settings.entry_id,
            self.incarnation,
        )
        self.retries = retries.Retries(
            self.clock, options=retries.make_options(self.settings.retries)
        )
        self.home = homes.Home(
            self.clock,
            self.journal,
            self.placer.post,
            self.router.acknowledge_outcome,
            lambda message: self.recovery.post(message),
            self.observer.observe,
            self.retries,
        )
        self.reporter = reports.Reporter(
            self.clock,
            self.incarnation,
            self.directory.entry_of,
            self.mesh.send,
            self.home.post,
            self.placer.post,
            self.tracer.own_spans,
        )
        self.recovery = recoveries.Recovery(
            self.clock,
            lambda keys: self.states.find_recovery_view(keys),
            self.placer.last_forward,
            self.router.broadcast,
            self.home.post,
            self.placer.post,
        )
        self.adoption = adoptions.Adoption(
            self.clock,
            self.table,
            self.committer,
            self.journal,
            adoptions.Surroundings(
                incarnation=self.incarnation,
                find_members=self.directory.find_members,
                is_alive=lambda home: bool(self.directory.entry_of(home)),
                to_home=self.home.post,
                announce=self.router.announce_adoption,
                on_entries=self.router.learn_entries,
            ),
        )

        self.retention = retentions.Retention(
            self.clock,
            self.table,
            self.committer,
            self.settings.times.retention_s,
            retentions.Surroundings(
                incarnation=self.incarnation,
                find_members=self.directory.find_members,
                delete_object=self.objects.delete,
            ),
        )

    def _build_services(self) -> None:
        self.service = services.Service(
            self.clock,
            self.home,
            self.journal,
            services.Surroundings(
                incarnation=self.incarnation,
                is_fresh=self.is_fresh,
                is_refusing=lambda: self.shutdown.refusing,
                is_draining=lambda: self.shutdown.draining,
                find_configuration=lambda: self.following.configuration,
                fetch_object=self.objects.get,
                broadcast_cancel=lambda key: self.router.broadcast(
                    peer_protocol.Cancel(key)
                ),
                find_spans=self.tracer.spans,
                render_metrics=self.metrics.render,
                observe=self.observer.observe,
            ),
        )
        self.states = states.States(self)
        self.state_change_logger = statechanges.StateChangeLogger(self)
        self.operation = operation.Operation(
            operation.Surroundings(
                table=self.table,
                committer=self.committer,
                find_configuration=lambda: self.following.configuration,
                change_blocked_reason=self.directory.change_blocked_reason,
                announce=self.router.announce_version,
                describe_state=self.states.describe,
                describe_queues=self.states.describe_queues,
                explain=self.states.explain,
            )
        )
        self.metrics.call_before_render(self.states.measure)

    # Life of the process

    def start(self) -> None:
        """Registers, starts all tasks and serves callers and operators."""
        for task in self._tasks():
            task.start(self._handle_task_failure)
        self._greenlets.append(gevent.spawn(self._open_home))
        self._greenlets.append(gevent.spawn(self._upkeep))
        self._greenlets.append(gevent.spawn(self._watch_seal))
        self._greenlets.append(gevent.spawn(self.state_change_logger.run))
        limits = self.settings.clients
        self.callers_address = self._serve(
            self.settings.callers_address,
            callers_api.make_app(self.service),
            bounds.find_sums(limits),
        )
        self.operators_address = self._serve(
            self.settings.operators_address,
            operators_api.make_app(self.operation, self.settings.operator_key),
            bounds.find_reserve(limits),
        )
        self.log.write(
            "entry_started",
            entry=self.settings.entry_id,
            incarnation=self.incarnation,
            address=self.callers_address,
        )

    def wait(self) -> int:
        """Waits until the process has stopped and returns its exit code."""
        self._stopped.wait()
        return self.exit_code

    def drain(self) -> None:
        """Stops gracefully: finishes what is in flight, hands over the rest."""
        self.shutdown.run()

    def stop(self, exit_code: int = 0) -> None:
        """Ends all tasks and servers at once."""
        self.exit_code = exit_code
        for server in self._servers:
            server.stop(timeout=SERVER_STOP_S if exit_code == 0 else 0)
        gevent.killall(
            [g for g in self._greenlets if g is not gevent.getcurrent()],
            block=False,
        )
        for task in reversed(self._tasks()):
            task.stop()
        self._stopped.set()

    def _tasks(self) -> list:
        return [
            self.mesh,
            self.committer,
            self.following,
            self.placer,
            self.home,
            self.reporter,
            self.recovery,
            self.control,
            self.heartbeats,
            self.allowance_task,
            self.adoption,
            self.retention,
        ]

    def _serve(
        self, address: str, app: typing.Callable, sums: bounds.Sums
    ) -> str:
        server = web.make_server(
            address, app, self.settings.clients, sums, self._closures.report
        )
        server.start()
        self._servers.append(server)
        host = address.rpartition(":")[0]
        return f"{host}:{server.server_port}"

    def _open_home(self) -> None:
        self.journal.open_home().wait(None)

    def _handle_task_failure(self, name: str) -> None:
        if self._stopped.is_set() or self.committer.is_fenced:
            return
        self.log.write("unexpected_error", error=f"task {name} has ended")
        gevent.spawn(self.stop, EXIT_TASK_FAILED)

    def _watch_seal(self) -> None:
        """Ends the process once another entry has taken over for it."""
        while not self.committer.is_fenced:
            self.clock.sleep(0.5)
        self.log.write(
            "entry_restarting",
            entry=self.settings.entry_id,
            incarnation=self.incarnation,
        )
        gevent.spawn(self.stop, EXIT_SEALED)

    def _upkeep(self) -> None:
        while True:
            self.clock.sleep(UPKEEP_INTERVAL_S)
            self.home.sweep()
            for message in self.states.find_dead_holders():
                self.allowance_task.post(message)

    def is_fresh(self) -> bool:
        """Tells whether the configuration may be acted on."""
        return self.directory.is_fresh()

    def _make_link(self, vm: vms.Vm, on_event) -> links.TargetLink:
        times = self.settings.times
        options = links.Options(
            exchange_timeout_s=times.target_timeout_s,
            sync_wait_s=times.sync_wait_s,
            start_window_s=times.start_window_s,
        )
        link = links.TargetLink(
            self.clock,
            vm,
            self.settings.entry_id,
            self.incarnation,
            self.mesh.address,
            on_event,
            options,
            self.target_traffic,
        )
        link.start(self._handle_task_failure)
        return link
