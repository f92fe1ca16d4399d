"""The fleet's owner: plans and changes the fleet while this daemon holds the lease ``capacity``."""

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

DEMAND_HALF_LIFE_SECONDS = 300.0
# Refused starts are planned again within the same step, so that even a short reclaim notice leaves
# enough time for a replacement.
MAX_PLAN_ROUNDS = 16
MAX_CONCURRENT_NOTICE_READS = 16


@dataclasses.dataclass(slots=True)
class _Ownership:
    """State of the ownership of the fleet under one fencing number."""

    fence: int
    acquired_at: float
    policy: str
    planner: planner.CapacityPlanner
    sent_tokens: set[str] = dataclasses.field(default_factory=set)


class _NotOwnerError(Exception):
    """This daemon may no longer own the fleet, or its lease ends soon, so the step ends."""


class Owner:
    """Starts, drains and stops VMs, and orders upstreams to load and unload models.

    Parameters
    ----------
    settings : Platform
    cloud_client : CloudClient
    order_client : OrderClient
    lease : ManagedLease
    document : callable
        Returns the environment document in force, or None.
    directory : Directory
    metrics : Metrics
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random
    """

    def __init__(
        self,
        settings: settings_module.Platform,
        cloud_client: cloud.CloudClient,
        order_client: orders.OrderClient,
        lease: leases.ManagedLease,
        document: Callable[[], environment.Environment | None],
        directory: directory_module.Directory,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._cloud_client = cloud_client
        self._order_client = order_client
        self._lease = lease
        self._document = document
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._ownership: _Ownership | None = None
        self._estimate = demand.DemandEstimate(DEMAND_HALF_LIFE_SECONDS)
        self._draining = draining.DrainTracker(clock)
        self._loads = loading.LoadQueue(settings.weight_bytes_per_second, self._send_load)
        self._shortfalls = shortfall.ShortfallTracker(metrics)
        self._listed_vms: list[plannerinput.ListedVm] = []
        self._listed_at = 0.0
        self._fence_refused = False
        self._last_failure = ""

    @property
    def shortfalls(self) -> tuple[shortfall.Shortfall, ...]:
        """Demand that the newest plan could not cover, by model."""
        return self._shortfalls.current

    def listed_vms(self) -> list[plannerinput.ListedVm]:
        """Returns the cloud's list with reclaim times as of now; empty if not the fleet's owner."""
        if self._ownership is None or not self._lease.is_held():
            return []
        elapsed = self._clock() - self._listed_at
        return [
            (
                each
                if each.reclaim_seconds is None
                else dataclasses.replace(
                    each, reclaim_seconds=max(0.0, each.reclaim_seconds - elapsed)
                )
            )
            for each in self._listed_vms
        ]

    async def run(self) -> None:
        """Carries out plans every `plan_seconds` until cancelled."""
        try:
            while True:
                try:
                    await self.step()
                except (cloud.CloudError, errors.KernelError) as error:
                    self._metrics.count("fleet_steps_failed")
                    logging.debug("fleet: %s", error)
                except Exception as error:
                    # A defect in the planning must not stop the daemon: each next holder of the
                    # lease would fail in the same way, until no daemon is left.
                    self._metrics.count("fleet_steps_failed")
                    self._log_failure(error)
                await asyncio.sleep(self._settings.plan_seconds)
        finally:
            self._loads.close()

    def _log_failure(self, error: Exception) -> None:
        text = f"{type(error).__name__}: {error}"
        if text != self._last_failure:
            logging.exception("fleet: plan failed: %s", text)
        self._last_failure = text

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
        if document is None or not await self._update_ownership(document):
            return
        ownership = self._ownership
        listed = await self._cloud_client.vms()
        zones = await self._cloud_client.catalogue()
        notices = await self._read_notices(listed)
        self._listed_vms = plannerinput.listed_vms(listed, notices)
        self._listed_at = self._clock()
        records = self._model_upstreams()
        demand_by_model = self._estimate.update(
            [model.name for model in document.models], records, self._clock()
        )
        # The list may still lack VMs that the previous holder of the lease started last.
        if self._clock() - ownership.acquired_at < self._settings.start_seconds:
            return
        with contextlib.suppress(_NotOwnerError):
            await self._plan(ownership, document, zones, records, demand_by_model)
            await self._send_orders(ownership, records, demand_by_model)
        if self._fence_refused:
            await self._release_ownership()

    async def _update_ownership(self, document: environment.Environment) -> bool:
        """Returns whether this daemon owns the fleet; a new fence begins with a new planner."""
        if not self._lease.is_held():
            # The ownership is kept: a late renewal may restore the same fence, under which the
            # planner must not number its steps from 1 again.
            return False
        fence, policy = self._lease.fence, document.policies.capacity
        if self._ownership is not None and self._ownership.fence == fence:
            if self._ownership.policy == policy:
                return True
            # A new planner numbers its steps from 1, so it needs a new fence for its tokens to be
            # unused ones.
            await self._release_ownership()
            return False
        factory = registry.resolve("capacity", policy)
        planner_settings = planner.CapacitySettings(surplus_seconds=self._settings.surplus_seconds)
        self._ownership = _Ownership(fence, self._clock(), policy, factory(fence, planner_settings))
        self._loads.close()
        self._draining.clear()
        self._fence_refused = False
        logging.info("fleet: ownership acquired with fence %d", fence)
        return True

    async def _release_ownership(self) -> None:
        self._ownership = None
        self._loads.close()
        await self._lease.release()

    async def _read_notices(self, listed: Sequence[cloud.CloudVm]) -> dict[str, float | None]:
        """Returns the seconds until reclaim by VM; a failed read yields the last known value."""
        last_known = {each.vm.id: each.reclaim_seconds for each in self.listed_vms()}
        limit = asyncio.Semaphore(MAX_CONCURRENT_NOTICE_READS)

        async def read(vm: str) -> float | None:
            async with limit:
                try:
                    return await self._cloud_client.reclaim_notice(vm)
                except cloud.CloudError:
                    self._metrics.count("fleet_notices_unread")
                    return last_known.get(vm)

        reclaimable_vms = [vm.id for vm in listed if vm.market == cloud.RECLAIMABLE]
        found = await asyncio.gather(*(read(vm) for vm in reclaimable_vms))
        return dict(zip(reclaimable_vms, found, strict=True))

    def _model_upstreams(self) -> list[upstreams.Upstream]:
        routable = self._directory.routable(self._clock())
        return [record for record in routable if record.kind == "model"]

    def _slots(self, records: Sequence[upstreams.Upstream]) -> dict[str, int]:
        configured = {each.name: each.slots for each in self._settings.vm_classes}
        return plannerinput.class_slots(configured, records)

    def _require_lease(self, ownership: _Ownership, seconds: float) -> None:
        if self._fence_refused or not self._order_client.lease_covers(ownership.fence, seconds):
            raise _NotOwnerError

    async def _plan(
        self,
        ownership: _Ownership,
        document: environment.Environment,
        zones: cloud.Catalogue,
        records: Sequence[upstreams.Upstream],
        demand_by_model: Mapping[str, float],
    ) -> None:
        slots = self._slots(records)
        fleet_vms = {each.vm.id for each in self._listed_vms if each.model is not None}
        demands = [
            planner.Demand(
                model.name,
                max(
                    0.0,
                    demand_by_model[model.name]
                    - plannerinput.external_slots(records, fleet_vms, model.name),
                ),
                document.budget.important_share,
            )
            for model in document.models
        ]
        available = {
            model.name: plannerinput.offers(zones, slots, model) for model in document.models
        }
        listed_tokens = {each.planner_token for each in self._listed_vms}
        remaining_budget = plannerinput.RemainingBudget(
            document.budget, [each.vm for each in self._listed_vms]
        )
        handled_tokens: set[str] = set()
        shortfall_by_model: dict[str, shortfall.Shortfall] = {}
        for _ in range(MAX_PLAN_ROUNDS):
            vms = plannerinput.planner_vms(self._listed_vms, slots, records, self._draining.vms)
            plan = ownership.planner.plan(demands, available, vms, self._clock())
            shortfall_by_model = {
                each.model: shortfall.Shortfall(
                    each.model, "capacity", each.missing_tokens_per_second
                )
                for each in plan.shortfalls
            }
            pending_starts = [
                each for each in plan.starts if each.client_token not in handled_tokens
            ]
            if not await self._start_vms(
                ownership,
                pending_starts,
                listed_tokens,
                remaining_budget,
                handled_tokens,
                shortfall_by_model,
            ):
                break
        for each in plan.drains:
            self._draining.add(each.vm)
        self._shortfalls.update(shortfall_by_model)

    async def _start_vms(
        self,
        ownership: _Ownership,
        pending_starts: Sequence[planner.Start],
        listed_tokens: Collection[str],
        remaining_budget: plannerinput.RemainingBudget,
        handled_tokens: set[str],
        shortfall_by_model: dict[str, shortfall.Shortfall],
    ) -> bool:
        """Starts VMs as far as the budget allows.

        Adds to `handled_tokens`, and to `shortfall_by_model` what the budget does not allow.

        Returns
        -------
        bool
            Whether the cloud refused a start, so that another plan may help.
        """
        refused = False
        affordable = []
        # A start that was sent may have succeeded, so its budget is reserved before that of others.
        for start in sorted(
            pending_starts, key=lambda each: each.client_token not in ownership.sent_tokens
        ):
            token = start.client_token
            if token in ownership.sent_tokens:
                if token not in listed_tokens:
                    remaining_budget.reserve(start)
                affordable.append(start)
            elif remaining_budget.try_reserve(start):
                affordable.append(start)
            else:
                ownership.planner.record_withdrawn(start)
                handled_tokens.add(token)
                previous = shortfall_by_model.get(start.model)
                missing = (
                    previous.missing_slots if previous and previous.reason == "budget" else 0.0
                )
                missing += start.offer.tokens_per_second
                shortfall_by_model[start.model] = shortfall.Shortfall(
                    start.model, "budget", missing
                )
        for start in affordable:
            refused |= not await self._start_vm(ownership, start)
            handled_tokens.add(start.client_token)
        return refused

    async def _start_vm(self, ownership: _Ownership, start: planner.Start) -> bool:
        """Starts one VM; returns False only if the cloud refused."""
        offer = start.offer
        market = cloud.RECLAIMABLE if offer.reclaimable else cloud.ON_DEMAND

        def check_lease() -> None:
            # Checked after connecting because the process may have been suspended in the meantime.
            self._require_lease(ownership, cloud.CALL_TIMEOUT_SECONDS)
            ownership.sent_tokens.add(start.client_token)

        token = plannerinput.client_token(start)
        try:
            vm = await self._cloud_client.start(
                token, offer.zone, offer.vm_class, market, check_lease
            )
        except cloud.StartRefusedError as error:
            ownership.planner.record_refused(start, self._clock(), self._rng)
            self._metrics.count("fleet_starts_refused")
            logging.debug(
                "fleet: start of %s %s in %s refused: %s", offer.vm_class, market, offer.zone, error
            )
            return False
        except cloud.UnknownStartError:
            self._metrics.count("fleet_starts_unknown")
            return True
        ownership.planner.record_accepted(start, self._clock())
        self._metrics.count("fleet_starts_accepted")
        logging.info(
            "fleet: VM %s (%s %s in %s) started", vm.id, market, offer.vm_class, offer.zone
        )
        return True

    async def _send_orders(
        self,
        ownership: _Ownership,
        records: Sequence[upstreams.Upstream],
        demand_by_model: Mapping[str, float],
    ) -> None:
        """Orders upstreams to load and unload models, and stops drained VMs."""
        by_vm: dict[str, list[upstreams.Upstream]] = {}
        for record in records:
            by_vm.setdefault(record.vm, []).append(record)
        loads = []
        for each in self._listed_vms:
            vm_upstreams = by_vm.get(each.vm.id, ())
            if each.model is None:
                continue
            if each.vm.id not in self._draining.vms:
                loads += self._wanted_loads(ownership, each, vm_upstreams, demand_by_model)
                continue
            await self._drain(ownership, each, vm_upstreams)
        self._draining.retain({each.vm.id for each in self._listed_vms})
        self._loads.step(loads, self._clock())

    def _wanted_loads(
        self,
        ownership: _Ownership,
        listed_vm: plannerinput.ListedVm,
        vm_upstreams: Sequence[upstreams.Upstream],
        demand_by_model: Mapping[str, float],
    ) -> list[weightloads.WeightLoad]:
        model = listed_vm.model
        if model not in demand_by_model or listed_vm.reclaim_seconds is not None:
            return []
        return [
            weightloads.WeightLoad(
                record.upstream, model, self._settings.weight_bytes, demand_by_model[model]
            )
            for record in vm_upstreams
            if model not in [each.name for each in record.models]
            and self._order_client.is_safe_to_order(record, ownership.acquired_at)
        ]

    async def _drain(
        self,
        ownership: _Ownership,
        listed_vm: plannerinput.ListedVm,
        vm_upstreams: Sequence[upstreams.Upstream],
    ) -> None:
        vm = listed_vm.vm.id
        for record in vm_upstreams:
            for model in record.models:
                if self._order_client.is_safe_to_order(record, ownership.acquired_at):
                    await self._send_order(
                        self._order_client.unload(record, ownership.fence, model.name)
                    )
        if self._fence_refused:
            raise _NotOwnerError
        if self._draining.can_stop(vm, vm_upstreams):
            await self._cloud_client.stop(
                vm, lambda: self._require_lease(ownership, cloud.CALL_TIMEOUT_SECONDS)
            )
            self._metrics.count("fleet_vms_stopped")
            logging.info("fleet: drained VM %s stopped", vm)

    async def _send_load(self, load: weightloads.WeightLoad) -> None:
        document, ownership = self._document(), self._ownership
        record = self._directory.records.get(load.upstream)
        model = document.model(load.model) if document else None
        if ownership is None or record is None or model is None:
            return
        version = model.versions[-1] if model.versions else ""
        await self._send_order(
            self._order_client.load(record, ownership.fence, load.model, version)
        )

    async def _send_order(self, order: Awaitable[None]) -> None:
        try:
            await order
        except orders.StaleFenceError as error:
            self._fence_refused = True
            self._metrics.count("fleet_orders_stale")
            logging.warning("fleet: releasing the lease: %s", error)
        except orders.LeaseExpiringError:
            pass
        except orders.OrderError as error:
            self._metrics.count("fleet_orders_failed")
            logging.debug("fleet: %s", error)
        else:
            self._metrics.count("fleet_orders_given")
