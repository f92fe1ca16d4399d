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
        cluster = swim_simulation.Simulation(count, seed)
        cluster.run(30)
        self.assert_views(cluster, dict.fromkeys(cluster.detectors, ALIVE))
        return cluster

    def assert_views(self, cluster, expected):
        for name, view in cluster.views().items():
            self.assertEqual({key: view.get(key) for key in expected}, expected, name)

    @PROPERTY_SETTINGS
    @given(seed=SEEDS, count=st.integers(2, 9), loss=st.sampled_from([0.0, 0.3, 0.9]))
    def test_crash_is_detected_by_all(self, seed, count, loss):
        """Guards against a crashed member that is not declared dead within the detection time."""
        cluster = self.start_cluster(count, seed)
        cluster.loss_probability = loss
        cluster.crash("m1")
        cluster.run((count - 1) * 0.5 + swim_simulation.DETECTION_SECONDS + 0.1)
        self.assertEqual({view["m1"] for view in cluster.views().values()}, {DEAD})

    @PROPERTY_SETTINGS
    @given(seed=SEEDS, data=st.data())
    def test_views_agree_after_faults(self, seed, data):
        """Guards against live members that stay declared dead, and old incarnations that return."""
        cluster = self.start_cluster(6, seed)
        incarnations = dict.fromkeys(cluster.detectors, 1)
        for _ in range(data.draw(st.integers(1, 6))):
            name = data.draw(st.sampled_from(sorted(incarnations)))
            match data.draw(st.sampled_from(["crash", "restart", "pause", "split", "loss"])):
                case "crash" if name in cluster.detectors:
                    cluster.crash(name)
                case "restart":
                    if name in cluster.detectors:
                        cluster.crash(name)
                    incarnations[name] += 1
                    cluster.start(name, incarnations[name])
                case "pause" if name in cluster.detectors:
                    cluster.pause(name)
                case "split":
                    half = data.draw(st.sets(st.sampled_from(sorted(incarnations))))
                    cluster.is_partitioned = lambda a, b, half=half: (a in half) != (b in half)
                case "loss":
                    cluster.loss_probability, cluster.max_delay_seconds = 0.4, 0.6
            cluster.run(data.draw(st.sampled_from([0.3, 3, 20])))
        cluster.loss_probability, cluster.max_delay_seconds, cluster.is_partitioned = (
            0.0,
            0.02,
            lambda a, b: False,
        )
        for name in list(cluster.paused):
            cluster.resume(name)
        cluster.run(HEAL_SECONDS)
        for name in cluster.detectors.keys() & incarnations.keys():
            for detector in cluster.detectors.values():
                record = detector.members[name]
                self.assertEqual((record.state, record.incarnation), (ALIVE, incarnations[name]))
        for name in incarnations.keys() - cluster.detectors.keys():
            self.assertEqual(
                {view.get(name, DEAD) for view in cluster.views().values()} - {DEAD}, set()
            )
        self.assertFalse(cluster.superseded & cluster.detectors.keys())

    @PROPERTY_SETTINGS
    @given(seed=SEEDS, pause=st.sampled_from([3, 60, 3600]))
    def test_stopped_process_declares_nobody_dead(self, seed, pause):
        """Guards against a resumed process that declares all members dead by its expired timers."""
        cluster = self.start_cluster(5, seed)
        cluster.is_partitioned = lambda a, b: "m2" in (a, b)
        cluster.run(1.5)
        self.assertIn(members.State.SUSPECT, cluster.views()["m2"].values())
        cluster.pause("m2")
        cluster.is_partitioned = lambda a, b: False
        cluster.run(pause)
        cluster.resume("m2")
        for _ in range(100):
            cluster.run(0.1)
            self.assertNotIn(DEAD, cluster.views()["m2"].values())
        cluster.run(HEAL_SECONDS)
        self.assert_views(cluster, dict.fromkeys(cluster.detectors, ALIVE))

    @PROPERTY_SETTINGS
    @given(seed=SEEDS)
    def test_leave_and_new_start(self, seed):
        """Guards against a leave that is seen as a crash, and a restart that is not accepted."""
        cluster = self.start_cluster(5, seed)
        cluster.apply("m3", cluster.detectors["m3"].leave(cluster.now))
        cluster.crash("m3")
        cluster.run(5)
        self.assert_views(cluster, {"m3": LEFT})
        cluster.start("m3", 2)
        cluster.apply("m0", cluster.detectors["m0"].update(cluster.now, metadata={"k": "v"}))
        cluster.run(10)
        self.assert_views(cluster, {"m3": ALIVE})
        for detector in cluster.detectors.values():
            self.assertEqual(detector.members["m0"].metadata, {"k": "v"})

    def test_second_process_with_the_same_id(self):
        """Guards against two processes under one ID that refute each other for ever."""
        cluster = self.start_cluster(3, 1)
        old = cluster.detectors["m2"]
        cluster.start("m2", 2)
        cluster.run(5)
        record = cluster.detectors["m0"].members["m2"]
        effects = old.receive("m0", members.Ping(1, (record,)), cluster.now)
        self.assertTrue(effects.superseded)


if __name__ == "__main__":
    unittest.main()
