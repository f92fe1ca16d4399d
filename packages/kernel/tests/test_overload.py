"""Tests of refusals under load patterns, without a network."""

import random
import unittest

import traffic_builders as builders

from coltsfoothead.kernel.traffic import overload, placement

PROMPT = placement.Prompt("part", 5_000, 6_000)


def candidate(running=0, waiting=0, waiting_tokens=0, name="i-1"):
    """Returns a candidate with a load."""
    load = placement.Load(running, waiting, waiting_tokens)
    return placement.Candidate(builders.upstream(name), load, 0)


def route(priority, goal_seconds=1.2):
    """Returns a route of a priority."""
    return builders.route(priority=priority, goal_seconds=goal_seconds)


class JudgeTest(unittest.TestCase):
    def test_nothing_is_refused_while_an_upstream_has_room(self):
        """Load pattern: light traffic; guards against refusals that no caller needs."""
        for priority in range(3):
            for running in range(20):
                verdict = overload.decide_admission(route(priority), candidate(running), PROMPT)
                self.assertTrue(verdict.admitted, verdict)

    def test_a_burst_is_refused_once_it_would_begin_late(self):
        """Load pattern: a burst of long prompts; guards against answers that all come late."""
        verdicts = [
            overload.decide_admission(
                route(0), candidate(10, waiting, waiting * 6_000), PROMPT
            ).admitted
            for waiting in range(12)
        ]
        self.assertTrue(all(verdicts[:3]))
        self.assertFalse(any(verdicts[6:]))

    def test_less_urgent_kinds_are_refused_first(self):
        """Load pattern: all kinds at once beyond what the runners read in time."""
        for waiting_tokens in range(0, 60_000, 1_000):
            load = candidate(15, 3, waiting_tokens)
            taken = [
                overload.decide_admission(route(priority), load, PROMPT).admitted
                for priority in range(3)
            ]
            self.assertEqual(taken, sorted(taken, reverse=True), waiting_tokens)

    def test_streams_under_way_are_bounded_by_the_slots(self):
        """Load pattern: long answers pile up; guards against streams that pause too long."""
        self.assertFalse(
            overload.decide_admission(route(0), candidate(48, 3, 3_000), PROMPT).admitted
        )

    def test_plain_services_decide_by_themselves(self):
        """Guards against refusing calls of services by the measure of model runners."""
        self.assertTrue(overload.decide_admission(route(2), candidate(100), None).admitted)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(7)
        self.policy = placement.ExpectedStart()

    def test_long_prompts_do_not_queue_behind_each_other(self):
        """Load pattern: long prompts beside short ones; a short one avoids the long queue."""
        busy = candidate(2, 3, 20_000, "i-busy")
        free = candidate(12, 0, 0, "i-free")
        chosen = self.policy.choose([busy, free], placement.Prompt("", 0, 600), self.rng)
        self.assertEqual(chosen.upstream.id, "i-free")

    def test_prompts_that_would_pause_many_streams_go_where_few_run(self):
        """Load pattern: very long prompts beside running streams.

        Seen as pauses of 0.86 s in 58 of 1,590 streams of a calm day, each time at an engine that
        had more than 40,000 tokens to read.
        """
        prompt = placement.Prompt(own_tokens=25_000)
        busy = candidate(running=20, waiting=1, waiting_tokens=14_000, name="busy")
        calm = candidate(running=1, waiting=2, waiting_tokens=24_000, name="calm")
        chosen = placement.ExpectedStart().choose([busy, calm], prompt, self.rng)
        self.assertEqual(chosen.upstream.id, "calm")
        short = placement.Prompt(own_tokens=1_000)
        chosen = placement.ExpectedStart().choose([busy, calm], short, self.rng)
        self.assertEqual(chosen.upstream.id, "busy")

    def test_a_hot_key_spreads_once_its_upstream_is_loaded(self):
        """Load pattern: one key gets much of the traffic; guards against one hot runner."""
        held = placement.Prompt("hot", 5_000, 1_000, {"i-1": 2.0})
        calm = [candidate(name="i-1"), candidate(name="i-2")]
        self.assertEqual(self.policy.choose(calm, held, self.rng).upstream.id, "i-1")
        loaded = [candidate(20, 4, 16_000, "i-1"), candidate(name="i-2")]
        self.assertEqual(self.policy.choose(loaded, held, self.rng).upstream.id, "i-2")

    def test_the_zone_is_left_only_for_a_clear_gain(self):
        """Load pattern: even traffic in all zones; guards against bytes between regions."""
        near = placement.Candidate(builders.upstream("i-1"), placement.Load(4, 0, 0), 0)
        far = placement.Candidate(builders.upstream("i-2", "b"), placement.Load(), 2)
        self.assertIs(self.policy.choose([near, far], PROMPT, self.rng), near)
        flooded = placement.Candidate(builders.upstream("i-1"), placement.Load(30, 5, 30_000), 0)
        self.assertIs(self.policy.choose([flooded, far], PROMPT, self.rng), far)

    def test_entries_agree_on_the_home_of_a_part(self):
        """Guards against each entry reading the same part at another runner of the zone."""
        names = [f"i-{number}" for number in range(6)]
        chosen = set()
        for seed in range(20):
            rng = random.Random(seed)
            shuffled = [candidate(name=name) for name in rng.sample(names, len(names))]
            chosen.add(self.policy.choose(shuffled, PROMPT, rng).upstream.id)
        self.assertEqual(len(chosen), 1)

    def test_a_shared_part_is_copied_rather_than_read_again(self):
        """Load pattern: few parts shared by many requests; the holder is busy, others are free."""
        held = placement.Prompt("part", 5_000, 1_000, {"i-1": 2.0}, can_copy=True)
        busy, free = candidate(9, 1, 2_000, "i-1"), candidate(2, 0, 0, "i-2")
        self.assertIs(self.policy.choose([busy, free], held, self.rng), free)
        self.assertEqual(held.missing_tokens("i-2"), 0)
        alone = placement.Prompt("part", 5_000, 1_000, {"i-1": 2.0})
        self.assertEqual((alone.missing_tokens("i-1"), alone.missing_tokens("i-2")), (0, 5_000))

    def test_a_failing_upstream_gets_little_work(self):
        """Load pattern: one runner fails its requests while it says that it is well."""
        failing = placement.Candidate(builders.upstream("i-1"), placement.Load(), 0, failures=2.0)
        sound = candidate(8, 0, 0, "i-2")
        self.assertIs(self.policy.choose([failing, sound], PROMPT, self.rng), sound)


if __name__ == "__main__":
    unittest.main()
