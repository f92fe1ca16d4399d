"""The fleet's owner: plans and orders while this daemon holds the lease `capacity`."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence

from absl import logging

from coltsfoothead.coordination.membership import directory as directory_module
from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon import settings as settings_module
from coltsfoothead.daemon.control import leases
from coltsfoothead.daemon.fleet import (
    cloud,
    demand,
    draining,
    loading,
    orders,
    plannerinput,
    shortfall,
)
from coltsfoothead.kernel import environment, errors, registry
from coltsfoothead.kernel.capacity import planner, weightloads

__all__ = ["Owner"]

HALF_LIFE_SECONDS = 300.0
# Refused starts are planned again at once, so that a short notice is enough for a replacement.
ROUNDS = 16
NOTICE_READS = 16  # at once


@dataclasses.dataclass(slots=True)
class _Term:
    """What belongs to one fencing number."""

    fence: int
    taken_at: float
    policy: str
    planner: planner.CapacityPlanner
    sent: set[str] = dataclasses.field(default_factory=set)


class _NotOwnerError(Exception):
    """Too little of the lease is left, so the step ends."""


class Owner:
    """Buys, drains and stops VMs.

    Parameters
    ----------
    settings : Platform
    api : CloudClient
    given : Orders
    lease : ManagedLease
    document : callable
        Returns the environment document in force, or None.
    directory : Directory
    metrics : Metrics
    clock : callable
    rng : random.Random
    """

    def __init__(
        self,
        settings: settings_module.Platform,
        api: cloud.CloudClient,
        given: orders.Orders,
        lease: leases.ManagedLease,
        document: Callable[[], environment.Environment | None],
        directory: directory_module.Directory,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._api = api
        self._orders = given
        self._lease = lease
        self._document = document
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._term: _Term | None = None
        self._estimate = demand.DemandEstimate(HALF_LIFE_SECONDS)
        self._retiring = draining.Retiring(clock)
        self._loads = loading.LoadQueue(settings.weight_bytes_per_second, self._load)
        self._shortfalls = shortfall.Shortfalls(metrics)
        self._holdings: list[plannerinput.Holding] = []
        self._seen_at = 0.0
        self._stale = False
        self._fault = ""

    @property
    def shortfalls(self) -> tuple[shortfall.Shortfall, ...]:
        """What the newest plan could not cover."""
        return self._shortfalls.current

    def holdings(self) -> list[plannerinput.Holding]:
        """Returns the cloud's list with the reclaim times as of now; empty if not the owner."""
        if self._term is None or not self._lease.held():
            return []
        passed = self._clock() - self._seen_at
        return [
            (
                each
                if each.reclaim_seconds is None
                else dataclasses.replace(
                    each, reclaim_seconds=max(0.0, each.reclaim_seconds - passed)
                )
            )
            for each in self._holdings
        ]

    async def run(self) -> None:
        """Plans until cancelled."""
        try:
            while True:
                try:
                    await self.step()
                except (cloud.CloudError, errors.KernelError) as error:
                    self._metrics.count("fleet_steps_failed")
                    logging.debug("fleet: %s", error)
                except Exception as error:
                    # A fault in the plan must not stop a daemon that serves: the next holder of
                    # the lease would meet the same fault, until no daemon is left.
                    self._metrics.count("fleet_steps_failed")
                    self._log_fault(error)
                await asyncio.sleep(self._settings.plan_seconds)
        finally:
            self._loads.close()

    def _log_fault(self, error: Exception) -> None:
        text = f"{type(error).__name__}: {error}"
        if text != self._fault:
            logging.exception("fleet: plan failed: %s", text)
        self._fault = text

    async def step(self) -> None:
        """Carries out one plan.

        Raises
        ------
        CloudError
            If the cloud's list or catalogue cannot be read.
        UnknownPluginError
            If the document names an unknown capacity policy.
        """
        document = self._document()
        if document is None or not await self._take_term(document):
            return
        term = self._term
        listed = await self._api.vms()
        zones = await self._api.catalogue()
        notices = await self._notices(listed)
        self._holdings = plannerinput.holdings(listed, notices)
        self._seen_at = self._clock()
        records = self._records()
        wanted = self._estimate.update(
            [model.name for model in document.models], records, self._clock()
        )
        # A start that the previous holder's last order caused may be missing from the list.
        if self._clock() - term.taken_at < self._settings.start_seconds:
            return
        with contextlib.suppress(_NotOwnerError):
            await self._plan(term, document, zones, records, wanted)
            await self._order(term, records, wanted)
        if self._stale:
            await self._give_up()

    async def _take_term(self, document: environment.Environment) -> bool:
        """Returns whether this daemon owns the fleet; a new fence begins with a new plan."""
        if not self._lease.held():
            # The term is kept: a late renewal may bring the same fence back, under which the
            # planner must not count its steps from 1 again.
            return False
        fence, policy = self._lease.fence, document.policies.capacity
        if self._term is not None and self._term.fence == fence:
            if self._term.policy == policy:
                return True
            # A new planner counts its steps from 1; a new fence keeps its tokens unused.
            await self._give_up()
            return False
        factory = registry.resolve("capacity", policy)
        tuning = planner.CapacitySettings(surplus_seconds=self._settings.surplus_seconds)
        self._term = _Term(fence, self._clock(), policy, factory(fence, tuning))
        self._loads.close()
        self._retiring.clear()
        self._stale = False
        logging.info("fleet: owned with fence %d", fence)
        return True

    async def _give_up(self) -> None:
        self._term = None
        self._loads.close()
        await self._lease.release()

    async def _notices(self, listed: Sequence[cloud.CloudVm]) -> dict[str, float | None]:
        """Returns the notices; one that cannot be read leaves what was known of its VM."""
        known = {each.vm.id: each.reclaim_seconds for each in self.holdings()}
        limit = asyncio.Semaphore(NOTICE_READS)

        async def read(vm: str) -> float | None:
            async with limit:
                try:
                    return await self._api.notice(vm)
                except cloud.CloudError:
                    self._metrics.count("fleet_notices_unread")
                    return known.get(vm)

        wanted = [vm.id for vm in listed if vm.market == cloud.RECLAIMABLE]
        found = await asyncio.gather(*(read(vm) for vm in wanted))
        return dict(zip(wanted, found, strict=True))

    def _records(self) -> list[upstreams.Upstream]:
        live = self._directory.routable(self._clock())
        return [record for record in live if record.kind == "model"]

    def _slots(self, records: Sequence[upstreams.Upstream]) -> dict[str, int]:
        configured = {each.name: each.slots for each in self._settings.vm_classes}
        return plannerinput.class_slots(configured, records)

    def _check(self, term: _Term, seconds: float) -> None:
        if self._stale or not self._orders.may_order(term.fence, seconds):
            raise _NotOwnerError

    async def _plan(
        self,
        term: _Term,
        document: environment.Environment,
        zones: cloud.Catalogue,
        records: Sequence[upstreams.Upstream],
        wanted: Mapping[str, float],
    ) -> None:
        slots = self._slots(records)
        bought = {each.vm.id for each in self._holdings if each.model is not None}
        demands = [
            planner.Demand(
                model.name,
                max(
                    0.0,
                    wanted[model.name] - plannerinput.outside_slots(records, bought, model.name),
                ),
                document.budget.important_share,
            )
            for model in document.models
        ]
        available = {
            model.name: plannerinput.offers(zones, slots, model) for model in document.models
        }
        known = {each.step_token for each in self._holdings}
        room = plannerinput.Room(document.budget, [each.vm for each in self._holdings])
        done: set[str] = set()
        lacking: dict[str, shortfall.Shortfall] = {}
        for _ in range(ROUNDS):
            vms = plannerinput.planned_vms(self._holdings, slots, records, self._retiring.vms)
            plan = term.planner.plan(demands, available, vms, self._clock())
            lacking = {
                each.model: shortfall.Shortfall(
                    each.model, "capacity", each.missing_tokens_per_second
                )
                for each in plan.shortfalls
            }
            todo = [each for each in plan.starts if each.client_token not in done]
            if not await self._buy(term, todo, known, room, done, lacking):
                break
        for each in plan.drains:
            self._retiring.add(each.vm)
        self._shortfalls.note(lacking)

    async def _buy(
        self,
        term: _Term,
        todo: Sequence[planner.Start],
        known: Collection[str],
        room: plannerinput.Room,
        done: set[str],
        lacking: dict[str, shortfall.Shortfall],
    ) -> bool:
        """Sends starts; returns whether one was refused, so that another plan may help."""
        refused = False
        affordable = []
        # A start that was sent may run already, so its room is taken before that of new ones.
        for start in sorted(todo, key=lambda each: each.client_token not in term.sent):
            token = start.client_token
            if token in term.sent:
                if token not in known:
                    room.reserve(start)
                affordable.append(start)
            elif room.take(start):
                affordable.append(start)
            else:
                term.planner.withdrawn(start)
                done.add(token)
                earlier = lacking.get(start.model)
                missing = earlier.missing_slots if earlier and earlier.reason == "budget" else 0.0
                missing += start.offer.tokens_per_second
                lacking[start.model] = shortfall.Shortfall(start.model, "budget", missing)
        for start in affordable:
            refused |= not await self._start(term, start)
            done.add(start.client_token)
        return refused

    async def _start(self, term: _Term, start: planner.Start) -> bool:
        """Sends one start; returns whether the cloud did not refuse it."""
        offer = start.offer
        kind = cloud.RECLAIMABLE if offer.reclaimable else cloud.ON_DEMAND

        def ready() -> None:
            # Checked after connecting: the process may have been suspended meanwhile.
            self._check(term, cloud.CALL_SECONDS)
            term.sent.add(start.client_token)

        token = plannerinput.client_token(start)
        try:
            vm = await self._api.start(token, offer.zone, offer.vm_class, kind, ready)
        except cloud.StartRefusedError as error:
            term.planner.refused(start, self._clock(), self._rng)
            self._metrics.count("fleet_starts_refused")
            logging.debug("fleet: %s %s in %s: %s", offer.vm_class, kind, offer.zone, error)
            return False
        except cloud.UnknownStartError:
            self._metrics.count("fleet_starts_unknown")
            return True
        term.planner.accepted(start, self._clock())
        self._metrics.count("fleet_starts_accepted")
        logging.info("fleet: VM %s (%s %s in %s) bought", vm.id, kind, offer.vm_class, offer.zone)
        return True

    async def _order(
        self, term: _Term, records: Sequence[upstreams.Upstream], wanted: Mapping[str, float]
    ) -> None:
        """Gives the orders of loads and drains, and stops VMs that are empty."""
        by_vm: dict[str, list[upstreams.Upstream]] = {}
        for record in records:
            by_vm.setdefault(record.vm, []).append(record)
        loads = []
        for each in self._holdings:
            served = by_vm.get(each.vm.id, ())
            if each.model is None:
                continue
            if each.vm.id not in self._retiring.vms:
                loads += self._wanted_loads(term, each, served, wanted)
                continue
            await self._retire(term, each, served)
        self._retiring.keep({each.vm.id for each in self._holdings})
        self._loads.step(loads, self._clock())

    def _wanted_loads(
        self,
        term: _Term,
        holding: plannerinput.Holding,
        served: Sequence[upstreams.Upstream],
        wanted: Mapping[str, float],
    ) -> list[weightloads.Load]:
        model = holding.model
        if model not in wanted or holding.reclaim_seconds is not None:
            return []
        return [
            weightloads.Load(record.upstream, model, self._settings.weight_bytes, wanted[model])
            for record in served
            if model not in [each.name for each in record.models]
            and self._orders.admits(record, term.taken_at)
        ]

    async def _retire(
        self, term: _Term, holding: plannerinput.Holding, served: Sequence[upstreams.Upstream]
    ) -> None:
        vm = holding.vm.id
        for record in served:
            for model in record.models:
                if self._orders.admits(record, term.taken_at):
                    await self._give(self._orders.unload(record, term.fence, model.name))
        if self._stale:
            raise _NotOwnerError
        if self._retiring.is_empty(vm, served):
            await self._api.stop(vm, lambda: self._check(term, cloud.CALL_SECONDS))
            self._metrics.count("fleet_vms_stopped")
            logging.info("fleet: VM %s stopped, it was not needed", vm)

    async def _load(self, load: weightloads.Load) -> None:
        document, term = self._document(), self._term
        record = self._directory.records.get(load.upstream)
        model = document.model(load.model) if document else None
        if term is None or record is None or model is None:
            return
        version = model.versions[-1] if model.versions else ""
        await self._give(self._orders.load(record, term.fence, load.model, version))

    async def _give(self, order: Awaitable[None]) -> None:
        try:
            await order
        except orders.StaleFenceError as error:
            self._stale = True
            self._metrics.count("fleet_orders_stale")
            logging.warning("fleet: lease given up: %s", error)
        except orders.LeaseShortError:
            pass
        except orders.OrderError as error:
            self._metrics.count("fleet_orders_failed")
            logging.debug("fleet: %s", error)
        else:
            self._metrics.count("fleet_orders_given")
