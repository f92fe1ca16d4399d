"""Read-outs of one daemon in the shapes of the operators' API."""

from collections.abc import Callable, Mapping

import msgspec

from coltsfoothead.coordination.configuration import commands as configuration_commands
from coltsfoothead.coordination.membership import directory as directory_module
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.membership import upstreams as upstream_records
from coltsfoothead.coordination.transport import counters as link_counters
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon import readiness as readiness_module
from coltsfoothead.daemon import settings as settings_module
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.control import configuration as configuration_module
from coltsfoothead.daemon.control import leases, loghost, proposer
from coltsfoothead.daemon.control import voters as voters_module
from coltsfoothead.daemon.fleet import cloud
from coltsfoothead.daemon.fleet import owner as fleet_owner
from coltsfoothead.daemon.serving import requests as requests_module
from coltsfoothead.daemon.serving import traffic as traffic_module
from coltsfoothead.kernel import operations

__all__ = ["DaemonView"]

REQUESTS_SHOWN = 500
HISTORY_SHOWN = 200
REFUSED = "refused_"


class DaemonView:
    """Builds the answers of the operators' API from the daemon's parts."""

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: int,
        logs: loghost.LogHost,
        proposals: proposer.Proposer,
        configuration: configuration_module.Configuration,
        members: Callable[[], Mapping[str, members_module.Member]],
        directory: directory_module.Directory,
        traffic: traffic_module.Traffic,
        readiness: readiness_module.Readiness,
        metrics: metrics_module.Metrics,
        links: Callable[[], link_counters.Counters],
        capacity_lease: leases.ManagedLease,
        voter_changes: voters_module.VoterChanges,
        clock: Callable[[], float],
        fleet: fleet_owner.Owner | None = None,
    ) -> None:
        self.settings = settings
        self.logs = logs
        self.proposals = proposals
        self.configuration = configuration
        self.readiness = readiness
        self.traffic = traffic
        self.voter_changes = voter_changes
        self._incarnation = incarnation
        self._members = members
        self._directory = directory
        self._metrics = metrics
        self._links = links
        self._capacity_lease = capacity_lease
        self._clock = clock
        self._fleet = fleet

    def status(self) -> operations.StatusAnswer:
        """Returns the state of the daemon."""
        own = self.settings.daemon
        counters = self._metrics.counters
        reason = self.readiness.reason
        held = self.configuration.document
        return operations.StatusAnswer(
            daemon=own.id,
            region=own.region,
            zone=own.zone,
            vm=own.vm,
            incarnation=self._incarnation,
            ready=reason is None,
            not_ready=reason,
            draining=self.readiness.draining,
            config_version=held.version,
            config_digest=held.digest,
            config_lease_seconds=round(self.configuration.remaining(), 3),
            control_log=self._log(loghost.CONTROL),
            ledger_log=self._log(loghost.LEDGER),
            running=self.traffic.running,
            accepted=counters.get("requests_accepted", 0) + counters.get("service_calls", 0),
            refused={
                name.removeprefix(REFUSED): value
                for name, value in counters.items()
                if name.startswith(REFUSED)
            },
            upstreams=len(self._directory.routable(self._clock())),
        )

    def upstreams(self) -> operations.UpstreamsAnswer:
        """Returns the directory of upstreams."""
        entries = [self._upstream(record) for record in self._directory.records.values()]
        return operations.UpstreamsAnswer(upstreams=tuple(sorted(entries, key=lambda e: e.id)))

    def requests(self, request_id: str | None) -> operations.RequestsAnswer:
        """Returns the requests held here, running ones first, then the newest."""
        held = self.traffic.table.all
        if request_id is not None:
            held = [each for each in held if each.request_id == request_id]
        held.sort(key=lambda each: (each.end is not None, -each.created))
        entries = tuple(self._request(each) for each in held[:REQUESTS_SHOWN])
        return operations.RequestsAnswer(requests=entries, truncated=len(held) > REQUESTS_SHOWN)

    def members(self) -> operations.MembersAnswer:
        """Returns the membership."""
        entries = [
            operations.MemberEntry(
                id=member.id,
                state=member.state.name.lower(),
                incarnation=member.incarnation,
                address=member.address,
                region=member.region,
                zone=member.zone,
                vm=member.metadata.get("vm", ""),
            )
            for member in self._members().values()
        ]
        return operations.MembersAnswer(members=tuple(sorted(entries, key=lambda e: e.id)))

    def vms(self) -> operations.VmsAnswer:
        """Returns the VMs that daemons and upstreams run on, and those of the owner's list."""
        entries: dict[str, operations.VmEntry] = {}
        for member in self._members().values():
            if member.state <= members_module.State.SUSPECT:
                vm = member.metadata.get("vm", member.id)
                entries[vm] = operations.VmEntry(
                    id=vm,
                    state="running",
                    region=member.region,
                    zone=member.zone,
                    runs=(f"daemon {member.id}",),
                )
        for record in self._directory.records.values():
            known = entries.get(record.vm)
            runs = (*(known.runs if known else ()), f"upstream {record.upstream}")
            entries[record.vm] = operations.VmEntry(
                id=record.vm,
                state=record.state,
                vm_class=record.vm_class,
                region=record.region,
                zone=record.zone,
                runs=runs,
            )
        cost = self._add_listed(entries)
        return operations.VmsAnswer(
            vms=tuple(sorted(entries.values(), key=lambda entry: entry.id)),
            capacity_holder=self._capacity_lease.holder,
            hourly_cost=cost,
        )

    def _add_listed(self, entries: dict[str, operations.VmEntry]) -> float:
        """Adds what the cloud's list says, if this daemon owns it; returns the hourly cost."""
        listed = self._fleet.listed_vms() if self._fleet else []
        for each in listed:
            vm = each.vm
            known = entries.get(vm.id) or operations.VmEntry(id=vm.id, state=vm.state)
            entries[vm.id] = msgspec.structs.replace(
                known,
                vm_class=vm.vm_class,
                zone=vm.zone,
                reclaimable=vm.market == cloud.RECLAIMABLE,
                hourly_cost=vm.price_per_hour,
                reclaim_in_seconds=each.reclaim_seconds,
            )
        return sum(each.vm.price_per_hour for each in listed)

    def config(self) -> operations.ConfigAnswer:
        """Returns the document in force at this daemon."""
        held = self.configuration.document
        change = self._change(held.version)
        return operations.ConfigAnswer(
            version=held.version,
            digest=held.digest,
            document=held.content.decode(),
            author=change.author if change else "",
            change_id=change.change_id if change else "",
            accepted_at=change.applied_at / 1000 if change else 0.0,
        )

    def history(self, documents: bool) -> operations.HistoryAnswer:
        """Returns the accepted changes; only daemons with a replica have them."""
        state = self._configuration_state()
        changes = state.history(HISTORY_SHOWN + 1) if state else []
        entries = []
        for change in changes[:HISTORY_SHOWN]:
            kept = state.document(change.version) if documents else None
            entries.append(
                operations.HistoryEntry(
                    version=change.version,
                    digest=change.digest,
                    author=change.author,
                    change_id=change.change_id,
                    accepted_at=change.applied_at / 1000,
                    document=kept.content.decode() if kept else None,
                )
            )
        return operations.HistoryAnswer(
            entries=tuple(entries), truncated=len(changes) > HISTORY_SHOWN
        )

    def metrics(self) -> operations.MetricsAnswer:
        """Returns counters, with those of the links, and histograms."""
        histograms = {
            name: operations.HistogramSummary(
                count=each.count, p50=each.p50, p95=each.p95, p99=each.p99, max=each.max
            )
            for name, each in self._metrics.summaries().items()
        }
        return operations.MetricsAnswer(
            counters=dict(sorted((self._metrics.counters | self._link_counters()).items())),
            histograms=histograms,
        )

    def slo(self) -> operations.SloAnswer:
        """Returns the service level of each organisation."""
        return self.traffic.service_level.report()

    def voters(self) -> tuple[operations.VoterEntry, ...]:
        """Returns the voters of the control log."""
        status = self._log(loghost.CONTROL)
        return status.voters if status else ()

    def _link_counters(self) -> dict[str, int]:
        links = self._links()
        found = {
            f"link_{name}": getattr(links, name)
            for name in ("batches_in", "batches_out", "reconnects", "dropped")
        }
        for channel, each in links.channels.items():
            for name in ("messages_in", "messages_out", "bytes_in", "bytes_out"):
                found[f"link_{name}_{channel}"] = getattr(each, name)
        return found

    def _log(self, name: str) -> operations.LogStatus | None:
        task = self.logs.tasks.get(name)
        if task is None:
            return None
        status = task.status()
        members = task.members
        voters = tuple(
            operations.VoterEntry(
                id=voter,
                address=members[voter][0] if voter in members else "",
                zone=members[voter][1] if voter in members else "",
            )
            for voter in status.voters
        )
        return operations.LogStatus(
            role=status.role,
            term=status.term,
            leader=status.leader,
            commit_index=status.commit_index,
            applied_index=status.applied_index,
            voters=voters,
        )

    def _upstream(self, record: upstream_records.Upstream) -> operations.UpstreamEntry:
        load = record.load
        return operations.UpstreamEntry(
            id=record.upstream,
            kind=record.kind,
            state=record.state,
            service=record.service or None,
            zone=record.zone,
            region=record.region,
            vm=record.vm,
            vm_class=record.vm_class,
            address=record.address,
            models=tuple(f"{model.name}@{model.version}" for model in record.models),
            role=record.role or None,
            slots=record.slots,
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
            renewal_age_seconds=round(self._directory.age(record.upstream, self._clock()), 3),
            weight=round(self.traffic.router.weight(record.upstream), 3),
            in_flight=self.traffic.router.in_flight(record.upstream),
        )

    def _request(self, request: requests_module.ModelRequest) -> operations.RequestEntry:
        match request.end:
            case None:
                state, outcome = "running", None
            case refusals.Refusal(code=code):
                state, outcome = "ended", code.value
            case requests_module.Completion(reason=reason):
                state, outcome = "ended", reason
        started = request.deadline - self.settings.timeouts.request_seconds
        return operations.RequestEntry(
            id=request.request_id,
            organisation=request.organisation,
            kind="model",
            target=request.model,
            state=state,
            owner=self.settings.daemon.id,
            guard=request.guard,
            epoch=request.epoch,
            attempt=request.attempt,
            upstream=request.upstream,
            tokens_delivered=request.released,
            age_seconds=round(self._clock() - started, 3),
            outcome=outcome,
        )

    def _configuration_state(self):
        if loghost.CONTROL not in self.logs.tasks:
            return None
        return self.logs.machine(loghost.CONTROL).state(configuration_commands.NAME)

    def _change(self, version: int) -> configuration_commands.Change | None:
        state = self._configuration_state()
        changes = state.history() if state else []
        return next((change for change in changes if change.version == version), None)
