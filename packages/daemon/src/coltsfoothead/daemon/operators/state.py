"""Answers of the operators' API about the state of one daemon."""

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

MAX_REQUEST_ENTRIES = 500
MAX_HISTORY_ENTRIES = 200
REFUSED_COUNTER_PREFIX = "refused_"


class DaemonView:
    """Builds the answers of the operators' API from the state of the daemon's components."""

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
        read_link_counters: Callable[[], link_counters.Counters],
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
        self._read_link_counters = read_link_counters
        self._capacity_lease = capacity_lease
        self._clock = clock
        self._fleet = fleet

    def status(self) -> operations.StatusAnswer:
        """Returns the state of the daemon."""
        own = self.settings.daemon
        counters = self._metrics.counters
        reason = self.readiness.reason
        document = self.configuration.document
        return operations.StatusAnswer(
            daemon=own.id,
            region=own.region,
            zone=own.zone,
            vm=own.vm,
            incarnation=self._incarnation,
            ready=reason is None,
            not_ready=reason,
            draining=self.readiness.draining,
            config_version=document.version,
            config_digest=document.digest,
            config_lease_seconds=round(self.configuration.remaining(), 3),
            control_log=self._log_status(loghost.CONTROL),
            ledger_log=self._log_status(loghost.LEDGER),
            running=self.traffic.running,
            accepted=counters.get("requests_accepted", 0) + counters.get("service_calls", 0),
            refused={
                name.removeprefix(REFUSED_COUNTER_PREFIX): value
                for name, value in counters.items()
                if name.startswith(REFUSED_COUNTER_PREFIX)
            },
            upstreams=len(self._directory.routable(self._clock())),
        )

    def upstreams(self) -> operations.UpstreamsAnswer:
        """Returns the directory of upstreams."""
        entries = [self._upstream_entry(record) for record in self._directory.records.values()]
        return operations.UpstreamsAnswer(upstreams=tuple(sorted(entries, key=lambda e: e.id)))

    def requests(self, request_id: str | None) -> operations.RequestsAnswer:
        """Returns the requests in this daemon's table, running ones first, then newest first."""
        found = self.traffic.table.all
        if request_id is not None:
            found = [each for each in found if each.request_id == request_id]
        found.sort(key=lambda each: (each.end is not None, -each.created))
        entries = tuple(self._request_entry(each) for each in found[:MAX_REQUEST_ENTRIES])
        return operations.RequestsAnswer(
            requests=entries, truncated=len(found) > MAX_REQUEST_ENTRIES
        )

    def members(self) -> operations.MembersAnswer:
        """Returns the members of the cluster that this daemon knows."""
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
        """Returns the VMs that daemons and upstreams run on, and those of the cloud's VM list."""
        entries: dict[str, operations.VmEntry] = {}
        for member in self._members().values():
            if member.state <= members_module.State.SUSPECT:
                vm_id = member.metadata.get("vm", member.id)
                entries[vm_id] = operations.VmEntry(
                    id=vm_id,
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
        cost = self._add_cloud_vms(entries)
        return operations.VmsAnswer(
            vms=tuple(sorted(entries.values(), key=lambda entry: entry.id)),
            capacity_holder=self._capacity_lease.holder,
            hourly_cost=cost,
        )

    def _add_cloud_vms(self, entries: dict[str, operations.VmEntry]) -> float:
        """Merges the cloud's VM list if this daemon owns the fleet; returns the hourly cost."""
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
        """Returns the environment document in force at this daemon."""
        document = self.configuration.document
        change = self._find_change(document.version)
        return operations.ConfigAnswer(
            version=document.version,
            digest=document.digest,
            document=document.content.decode(),
            author=change.author if change else "",
            change_id=change.change_id if change else "",
            accepted_at=change.applied_at / 1000 if change else 0.0,
        )

    def history(self, documents: bool) -> operations.HistoryAnswer:
        """Returns the accepted changes, newest first; empty without a replica of the control log.

        Parameters
        ----------
        documents : bool
            Include the document of each change.
        """
        state = self._configuration_state()
        changes = state.history(MAX_HISTORY_ENTRIES + 1) if state else []
        entries = []
        for change in changes[:MAX_HISTORY_ENTRIES]:
            document = state.document(change.version) if documents else None
            entries.append(
                operations.HistoryEntry(
                    version=change.version,
                    digest=change.digest,
                    author=change.author,
                    change_id=change.change_id,
                    accepted_at=change.applied_at / 1000,
                    document=document.content.decode() if document else None,
                )
            )
        return operations.HistoryAnswer(
            entries=tuple(entries), truncated=len(changes) > MAX_HISTORY_ENTRIES
        )

    def metrics(self) -> operations.MetricsAnswer:
        """Returns the counters, including those of the links, and the histograms."""
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
        status = self._log_status(loghost.CONTROL)
        return status.voters if status else ()

    def _link_counters(self) -> dict[str, int]:
        links = self._read_link_counters()
        counters = {
            f"link_{name}": getattr(links, name)
            for name in ("batches_in", "batches_out", "reconnects", "dropped")
        }
        for channel, each in links.channels.items():
            for name in ("messages_in", "messages_out", "bytes_in", "bytes_out"):
                counters[f"link_{name}_{channel}"] = getattr(each, name)
        return counters

    def _log_status(self, name: str) -> operations.LogStatus | None:
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

    def _upstream_entry(self, record: upstream_records.Upstream) -> operations.UpstreamEntry:
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

    def _request_entry(self, request: requests_module.ModelRequest) -> operations.RequestEntry:
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

    def _find_change(self, version: int) -> configuration_commands.Change | None:
        state = self._configuration_state()
        changes = state.history() if state else []
        return next((change for change in changes if change.version == version), None)
