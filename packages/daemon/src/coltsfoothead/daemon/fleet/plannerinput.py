"""The cloud's list and catalogue in the planner's terms."""

import dataclasses
import re
from collections.abc import Collection, Iterable, Mapping, Sequence

from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon.fleet import cloud, demand
from coltsfoothead.kernel import environment
from coltsfoothead.kernel.capacity import offers as catalogue
from coltsfoothead.kernel.capacity import planner

__all__ = ["Holding", "Room", "client_token", "holdings", "offers", "outside_slots", "parse_token"]

_TOKEN = re.compile(r"(\d+-\d+)-(.+)")


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A listed VM, the model it was bought for, and the seconds left before its reclaim.

    `model` is None for a VM that the fleet's owner did not buy, which it never stops.
    """

    vm: cloud.CloudVm
    step_token: str
    model: str | None
    reclaim_seconds: float | None = None


def client_token(start: planner.Start) -> str:
    """Returns the cloud's client token of a start: fence, step and model.

    Notes
    -----
    The model is in the token because a successor must know what a VM is for that has not
    announced itself yet.
    """
    return f"{start.client_token}-{start.model}"


def parse_token(token: str | None) -> tuple[str, str | None]:
    """Returns the planner's token and the model, or an empty token and None."""
    match = _TOKEN.fullmatch(token or "")
    return (match[1], match[2]) if match else ("", None)


def holdings(listed: Iterable[cloud.CloudVm], notices: Mapping[str, float | None]) -> list[Holding]:
    """Returns the listed VMs with what their tokens say."""
    return [Holding(vm, *parse_token(vm.client_token), notices.get(vm.id)) for vm in listed]


def class_slots(
    configured: Mapping[str, int], records: Iterable[upstreams.Upstream]
) -> dict[str, int]:
    """Returns the slots of each class; what upstreams report replaces the settings."""
    reported: dict[str, int] = {}
    for record in records:
        if record.kind == "model" and record.vm_class in configured:
            reported[record.vm_class] = max(record.slots, reported.get(record.vm_class, 0))
    return {**configured, **reported}


def offers(
    zones: cloud.Catalogue, slots: Mapping[str, int], model: environment.Model
) -> list[catalogue.Offer]:
    """Returns what can be bought for a model; the planner's unit of speed is one slot."""
    return [
        catalogue.Offer(zone, vm_class, market == cloud.RECLAIMABLE, price, float(slots[vm_class]))
        for zone, classes in zones.items()
        if not model.zones or zone in model.zones
        for vm_class, markets in classes.items()
        if vm_class in slots
        for market, price in markets.items()
    ]


def planned_vms(
    held: Sequence[Holding],
    slots: Mapping[str, int],
    records: Iterable[upstreams.Upstream],
    draining: Collection[str],
) -> list[planner.Vm]:
    """Returns the bought VMs as the planner sees them."""
    serving = {(record.vm, model.name) for record in records for model in record.models}
    result = []
    for each in held:
        vm = each.vm
        if each.model is None or vm.vm_class not in slots:
            continue
        if each.reclaim_seconds is not None or vm.id in draining:
            state = planner.VmState.LEAVING
        elif (vm.id, each.model) in serving:
            state = planner.VmState.RUNNING
        else:
            # A VM that runs but does not serve yet must not replace one that is drained.
            state = planner.VmState.STARTING
        market = vm.market == cloud.RECLAIMABLE
        offer = catalogue.Offer(
            vm.zone, vm.vm_class, market, vm.price_per_hour, float(slots[vm.vm_class])
        )
        result.append(planner.Vm(vm.id, each.step_token, offer, each.model, state))
    return result


def outside_slots(
    records: Iterable[upstreams.Upstream], bought: Collection[str], model: str
) -> float:
    """Returns the slots for a model on VMs that the fleet's owner did not buy."""
    return sum(demand.slots_of(each, model) for each in records if each.vm not in bought)


class Room:
    """What the budget leaves; every listed VM counts until the list drops it.

    Parameters
    ----------
    budget : Budget
    held : sequence of CloudVm
    """

    def __init__(self, budget: environment.Budget, held: Sequence[cloud.CloudVm]) -> None:
        self._cost = budget.hourly_cost - sum(vm.price_per_hour for vm in held)
        self._vms = budget.max_vms - len(held)

    def take(self, start: planner.Start) -> bool:
        """Takes the room of one start; returns whether there was enough."""
        price = start.offer.price_per_hour
        # The tolerance admits a sum of prices that rounding put above the budget.
        if self._vms < 1 or price > self._cost + 1e-9:
            return False
        self.reserve(start)
        return True

    def reserve(self, start: planner.Start) -> None:
        """Takes the room of a start that the cloud may have carried out already."""
        self._cost -= start.offer.price_per_hour
        self._vms -= 1
