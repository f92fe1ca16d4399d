"""Converts the cloud's list and catalogue to the input of the capacity planner."""

import dataclasses
import re
from collections.abc import Collection, Iterable, Mapping, Sequence

from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon.fleet import cloud, demand
from coltsfoothead.kernel import environment
from coltsfoothead.kernel.capacity import offers as catalogue
from coltsfoothead.kernel.capacity import planner

__all__ = [
    "ListedVm",
    "RemainingBudget",
    "client_token",
    "external_slots",
    "listed_vms",
    "offers",
    "parse_token",
]

_TOKEN = re.compile(r"(\d+-\d+)-(.+)")


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM of the cloud's list with the contents of its client token and its reclaim notice.

    Parameters
    ----------
    vm : CloudVm
    planner_token : str
        The planner's own token of the start; empty if the fleet's owner did not start the VM.
    model : str or None
        Model that the VM was started for; None if the fleet's owner did not start the VM, in which
        case it never stops it.
    reclaim_seconds : float or None
        Seconds until the VM is reclaimed; None without a notice.
    """

    vm: cloud.CloudVm
    planner_token: str
    model: str | None
    reclaim_seconds: float | None = None


def client_token(start: planner.Start) -> str:
    """Returns the client token sent to the cloud for a start: fence, planning step and model.

    Notes
    -----
    The token includes the model because the next owner of the fleet must know which model a VM is
    for before the upstream on the VM has announced itself.
    """
    return f"{start.client_token}-{start.model}"


def parse_token(token: str | None) -> tuple[str, str | None]:
    """Returns the planner's token and the model in a client token, or an empty token and None."""
    match = _TOKEN.fullmatch(token or "")
    return (match[1], match[2]) if match else ("", None)


def listed_vms(vms: Iterable[cloud.CloudVm], notices: Mapping[str, float | None]) -> list[ListedVm]:
    """Returns the listed VMs with the contents of their tokens and their reclaim notices."""
    return [ListedVm(vm, *parse_token(vm.client_token), notices.get(vm.id)) for vm in vms]


def class_slots(
    configured: Mapping[str, int], records: Iterable[upstreams.Upstream]
) -> dict[str, int]:
    """Returns the slots of each VM class; values that upstreams report override the settings."""
    reported: dict[str, int] = {}
    for record in records:
        if record.kind == "model" and record.vm_class in configured:
            reported[record.vm_class] = max(record.slots, reported.get(record.vm_class, 0))
    return {**configured, **reported}


def offers(
    zones: cloud.Catalogue, slots: Mapping[str, int], model: environment.Model
) -> list[catalogue.Offer]:
    """Returns the offers for a model.

    The planner measures capacity in tokens per second; here its unit is one slot.
    """
    return [
        catalogue.Offer(zone, vm_class, market == cloud.RECLAIMABLE, price, float(slots[vm_class]))
        for zone, classes in zones.items()
        if not model.zones or zone in model.zones
        for vm_class, markets in classes.items()
        if vm_class in slots
        for market, price in markets.items()
    ]


def planner_vms(
    listed: Sequence[ListedVm],
    slots: Mapping[str, int],
    records: Iterable[upstreams.Upstream],
    draining: Collection[str],
) -> list[planner.Vm]:
    """Returns the VMs that the fleet's owner started, in the form that the planner takes."""
    serving = {(record.vm, model.name) for record in records for model in record.models}
    result = []
    for each in listed:
        vm = each.vm
        if each.model is None or vm.vm_class not in slots:
            continue
        if each.reclaim_seconds is not None or vm.id in draining:
            state = planner.VmState.LEAVING
        elif (vm.id, each.model) in serving:
            state = planner.VmState.RUNNING
        else:
            # A running VM that does not serve its model yet must not count as the replacement of
            # a draining VM.
            state = planner.VmState.STARTING
        reclaimable = vm.market == cloud.RECLAIMABLE
        offer = catalogue.Offer(
            vm.zone, vm.vm_class, reclaimable, vm.price_per_hour, float(slots[vm.vm_class])
        )
        result.append(planner.Vm(vm.id, each.planner_token, offer, each.model, state))
    return result


def external_slots(
    records: Iterable[upstreams.Upstream], fleet_vms: Collection[str], model: str
) -> float:
    """Returns the slots for a model on VMs that the fleet's owner did not start."""
    return sum(demand.slots_for_model(each, model) for each in records if each.vm not in fleet_vms)


class RemainingBudget:
    """Cost and number of VMs that the budget still allows.

    Every VM counts as long as the cloud lists it.

    Parameters
    ----------
    budget : Budget
    listed : sequence of CloudVm
    """

    def __init__(self, budget: environment.Budget, listed: Sequence[cloud.CloudVm]) -> None:
        self._remaining_hourly_cost = budget.hourly_cost - sum(vm.price_per_hour for vm in listed)
        self._remaining_vms = budget.max_vms - len(listed)

    def try_reserve(self, start: planner.Start) -> bool:
        """Reserves the budget of one start; returns whether enough was left."""
        price = start.offer.price_per_hour
        # The tolerance admits a sum of prices that exceeds the budget only by rounding.
        if self._remaining_vms < 1 or price > self._remaining_hourly_cost + 1e-9:
            return False
        self.reserve(start)
        return True

    def reserve(self, start: planner.Start) -> None:
        """Reserves the budget of a start unconditionally, because it may have succeeded already."""
        self._remaining_hourly_cost -= start.offer.price_per_hour
        self._remaining_vms -= 1
