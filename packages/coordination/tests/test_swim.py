"""Tests of the SWIM failure detector with random faults in simulated time."""

import unittest

import swim_simulation
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfoothead.coordination.membership import members

ALIVE, DEAD, LEFT = members.State.ALIVE, members.State.DEAD, members.State.LEFT
PROPERTY_SETTINGS = settings(derandomize=True, max_examples=15, deadline=None)
SEEDS = st.integers(0, 2**32)
HEAL_SECONDS = 120


class SwimTest(unittest.TestCase):
    def start_cluster(self, count, seed):
        run = swim_simulation.Simulation(count, seed)
        run.run(30)
        self.assert_views(run, dict.fromkeys(run.detectors, ALIVE))
        return run

    def assert_views(self, run, expected):
        for name, view in run.views().items():
            self.assertEqual({key: view.get(key) for key in expected}, expected, name)

    @PROPERTY_SETTINGS
    @given(seed=SEEDS, count=st.integers(2, 9), loss=st.sampled_from([0.0, 0.3, 0.9]))
    def test_crash_is_detected_by_all(self, seed, count, loss):
        """Guards against a crashed member that is not declared dead within the detection time."""
        run = self.start_cluster(count, seed)
        run.loss_probability = loss
        run.crash("m1")
        run.run((count - 1) * 0.5 + swim_simulation.DETECTION_SECONDS + 0.1)
        self.assertEqual({view["m1"] for view in run.views().values()}, {DEAD})

    @PROPERTY_SETTINGS
    @given(seed=SEEDS, data=st.data())
    def test_views_agree_after_faults(self, seed, data):
        """Guards against live members that stay declared dead, and old incarnations that return."""
        run = self.start_cluster(6, seed)
        incarnations = dict.fromkeys(run.detectors, 1)
        for _ in range(data.draw(st.integers(1, 6))):
            name = data.draw(st.sampled_from(sorted(incarnations)))
            match data.draw(st.sampled_from(["crash", "restart", "pause", "split", "loss"])):
                case "crash" if name in run.detectors:
                    run.crash(name)
                case "restart":
                    if name in run.detectors:
                        run.crash(name)
                    incarnations[name] += 1
                    run.start(name, incarnations[name])
                case "pause" if name in run.detectors:
                    run.pause(name)
                case "split":
                    half = data.draw(st.sets(st.sampled_from(sorted(incarnations))))
                    run.is_partitioned = lambda a, b, half=half: (a in half) != (b in half)
                case "loss":
                    run.loss_probability, run.max_delay_seconds = 0.4, 0.6
            run.run(data.draw(st.sampled_from([0.3, 3, 20])))
        run.loss_probability, run.max_delay_seconds, run.is_partitioned = (
            0.0,
            0.02,
            lambda a, b: False,
        )
        for name in list(run.paused):
            run.resume(name)
        run.run(HEAL_SECONDS)
        for name in run.detectors.keys() & incarnations.keys():
            for detector in run.detectors.values():
                record = detector.members[name]
                self.assertEqual((record.state, record.incarnation), (ALIVE, incarnations[name]))
        for name in incarnations.keys() - run.detectors.keys():
            self.assertEqual(
                {view.get(name, DEAD) for view in run.views().values()} - {DEAD}, set()
            )
        self.assertFalse(run.superseded & run.detectors.keys())

    @PROPERTY_SETTINGS
    @given(seed=SEEDS, pause=st.sampled_from([3, 60, 3600]))
    def test_stopped_process_declares_nobody_dead(self, seed, pause):
        """Guards against a resumed process that declares all members dead by its expired timers."""
        run = self.start_cluster(5, seed)
        run.is_partitioned = lambda a, b: "m2" in (a, b)
        run.run(1.5)
        self.assertIn(members.State.SUSPECT, run.views()["m2"].values())
        run.pause("m2")
        run.is_partitioned = lambda a, b: False
        run.run(pause)
        run.resume("m2")
        for _ in range(100):
            run.run(0.1)
            self.assertNotIn(DEAD, run.views()["m2"].values())
        run.run(HEAL_SECONDS)
        self.assert_views(run, dict.fromkeys(run.detectors, ALIVE))

    @PROPERTY_SETTINGS
    @given(seed=SEEDS)
    def test_leave_and_new_start(self, seed):
        """Guards against a leave that is seen as a crash, and a restart that is not accepted."""
        run = self.start_cluster(5, seed)
        run.apply("m3", run.detectors["m3"].leave(run.now))
        run.crash("m3")
        run.run(5)
        self.assert_views(run, {"m3": LEFT})
        run.start("m3", 2)
        run.apply("m0", run.detectors["m0"].update(run.now, metadata={"k": "v"}))
        run.run(10)
        self.assert_views(run, {"m3": ALIVE})
        for detector in run.detectors.values():
            self.assertEqual(detector.members["m0"].metadata, {"k": "v"})

    def test_second_process_with_the_same_id(self):
        """Guards against two processes under one ID that refute each other for ever."""
        run = self.start_cluster(3, 1)
        old = run.detectors["m2"]
        run.start("m2", 2)
        run.run(5)
        record = run.detectors["m0"].members["m2"]
        effects = old.receive("m0", members.Ping(1, (record,)), run.now)
        self.assertTrue(effects.superseded)


if __name__ == "__main__":
    unittest.main()
