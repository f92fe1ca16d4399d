"""Tests of the voters of the control log through random series of overlapping faults."""

import os
import unittest

import formation_simulation

# Seeds that are played in CI; more by hand, for example SEED=1 SEEDS=1000.
FIRST_SEED = int(os.environ.get("SEED", "1"))
SEEDS = int(os.environ.get("SEEDS", "40"))
STEPS = 10
# Processes beside the five founders.
STANDBY_COUNTS = (0, 1, 3)


def play(seed):
    """Plays the series of a seed; returns its events, and the violation or None."""
    simulation = formation_simulation.ControlSimulation(
        seed, STANDBY_COUNTS[seed % 3], drift=0.01 * (seed % 2)
    )
    rng = simulation.rng
    events = []
    try:
        simulation.wait_leader()
        simulation.run(5.0)
        for _ in range(STEPS):
            step(simulation, rng, events)
        simulation.wait_recovered()
        simulation.propose()
        simulation.run(0.5)
        simulation.settle()
    except AssertionError as error:
        return events, str(error)
    return events, None


def step(simulation, rng, events):
    """Applies one fault, beside those that go on, and lets some time pass."""
    addresses = sorted(simulation.processes)
    kinds = ["kill", "kill_leader", "freeze", "freeze_all", "cut", "heal", "wipe", "power", "lossy"]
    kind = rng.choices(kinds, [3, 3, 3, 1, 2, 3, 5, 1, 1])[0]
    victim = rng.choice(addresses)
    at = round(simulation.now, 2)
    simulation.propose(rng.randint(1, 8))
    if kind == "wipe" and simulation.has_recovered():
        leading = simulation.leading_address()
        victims = {leading, victim} if rng.random() < 0.5 else set(rng.sample(addresses, 2))
        voters = simulation.voters()
        hit = [each for each in victims if simulation.processes[each].replica in voters]
        events.append((at, "wipe", sorted(hit)))
        for each in hit:
            simulation.wipe(each)
        simulation.run(rng.choice([0.5, 1.5, 3.0]))
        for each in hit:
            simulation.restart(each)
        # The next disks are lost only once the cluster has recovered; nothing else fails meanwhile.
        simulation.wait_recovered()
        return
    events.append((at, kind, victim))
    match kind:
        case "kill":
            simulation.kill(victim)
        case "kill_leader":
            leading = simulation.leading_address()
            if leading is not None:
                simulation.kill(leading)
        case "freeze":
            simulation.freeze(victim, rng.uniform(0.5, 5.0))
        case "freeze_all":
            for each in addresses:
                simulation.freeze(each, rng.uniform(2.5, 4.0))
        case "cut":
            simulation.isolate_address(victim)
        case "heal":
            simulation.heal()
            for each in addresses:
                simulation.restart(each)
        case "power":
            for each in addresses:
                simulation.kill(each)
            simulation.run(0.5)
            for each in addresses:
                simulation.restart(each)
        case "lossy":
            simulation.loss, simulation.duplication = 0.05, 0.05
    simulation.run(rng.uniform(0.1, 2.0))
    simulation.loss = simulation.duplication = 0.0


class FormationSimulationTest(unittest.TestCase):
    def test_voters_outlast_series_of_faults(self):
        """Guards against voters that are removed although they live, and acknowledged data lost."""
        failed = []
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            events, violation = play(seed)
            if violation is not None:
                failed.append((seed, violation))
                print(f"seed {seed}: {violation}")
                for event in events:
                    print(f"  {event}")
        self.assertEqual(failed, [])


if __name__ == "__main__":
    unittest.main()
