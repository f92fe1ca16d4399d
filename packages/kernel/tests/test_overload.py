"""Tests of load shedding and placement under load patterns, without a network."""

import dataclasses
import random
import unittest

import traffic_builders as builders

from coltsfoothead.kernel.traffic import document, overload, placement

PROMPT = placement.Prompt("part", 5_000, 6_000)
SMALL_CACHE = document.Engine(48, 500_000, 5, 18_432, 130e9 / 8)
LARGE_CACHE = document.Engine(48, 444_000, 5, 131_072, 180e9 / 8)


def candidate(running=0, waiting=0, waiting_tokens=0, name="i-1", zone="a"):
    """Returns a candidate in the entry's zone with a load."""
    load = placement.Load(running, waiting, waiting_tokens)
    return placement.Candidate(builders.upstream(name, zone), load, 0)


def prompt(shared_tokens, own_tokens, engine):
    """Returns a prompt whose shared part only ``i-1`` in zone ``a`` holds, without a version."""
    return placement.Prompt(
        "part",
        shared_tokens,
        own_tokens,
        {"i-1": 2.0},
        frozenset({("", "a")}),
        engine.transfer_seconds(shared_tokens),
    )


def route(priority, goal_seconds=1.2):
    """Returns a route with a priority and a latency objective."""
    return builders.route(priority=priority, goal_seconds=goal_seconds)


class AdmissionTest(unittest.TestCase):
    def test_nothing_is_refused_while_an_upstream_has_capacity(self):
        """Load pattern: light traffic; guards against needless refusals."""
        for priority in range(3):
            for running in range(20):
                decision = overload.decide_admission(route(priority), candidate(running), PROMPT)
                self.assertTrue(decision.admitted, decision)

    def test_a_burst_is_refused_once_its_answers_would_start_late(self):
        """Load pattern: a burst of long prompts; guards against answers that are all late."""
        admitted = [
            overload.decide_admission(
                route(0), candidate(10, waiting, waiting * 6_000), PROMPT
            ).admitted
            for waiting in range(12)
        ]
        self.assertTrue(all(admitted[:3]))
        self.assertFalse(any(admitted[6:]))

    def test_lower_priorities_are_refused_first(self):
        """Load pattern: all priorities at once, with more prompts than are prefilled in time.

        Guards against refusing a route while one of lower priority is admitted.
        """
        for waiting_tokens in range(0, 60_000, 1_000):
            load = candidate(15, 3, waiting_tokens)
            admitted = [
                overload.decide_admission(route(priority), load, PROMPT).admitted
                for priority in range(3)
            ]
            self.assertEqual(admitted, sorted(admitted, reverse=True), waiting_tokens)

    def test_streams_in_flight_are_limited_by_the_slots(self):
        """Load pattern: long answers accumulate; guards against streams that pause too long."""
        self.assertFalse(
            overload.decide_admission(route(0), candidate(48, 3, 3_000), PROMPT).admitted
        )

    def test_plain_services_are_not_limited(self):
        """Guards against applying the limits of model runners to calls of plain services."""
        self.assertTrue(overload.decide_admission(route(2), candidate(100), None).admitted)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(7)
        self.policy = placement.ExpectedStart()

    def test_long_prompts_do_not_queue_behind_each_other(self):
        """Load pattern: long prompts beside short ones.

        Guards against placing a short prompt behind a long queue of prefills.
        """
        busy = candidate(2, 3, 20_000, "i-busy")
        free = candidate(12, 0, 0, "i-free")
        chosen = self.policy.choose([busy, free], placement.Prompt("", 0, 600), self.rng)
        self.assertEqual(chosen.upstream.id, "i-free")

    def test_prompts_that_would_pause_many_streams_go_where_few_run(self):
        """Load pattern: very long prompts beside running streams.

        Guards against pauses of running streams while an engine prefills more than 40,000 tokens.
        They were 0.86 s long in 58 of 1,590 streams at light load.
        """
        long = placement.Prompt(own_tokens=25_000)
        busy = candidate(running=20, waiting=1, waiting_tokens=14_000, name="busy")
        calm = candidate(running=1, waiting=2, waiting_tokens=24_000, name="calm")
        chosen = placement.ExpectedStart().choose([busy, calm], long, self.rng)
        self.assertEqual(chosen.upstream.id, "calm")
        short = placement.Prompt(own_tokens=1_000)
        chosen = placement.ExpectedStart().choose([busy, calm], short, self.rng)
        self.assertEqual(chosen.upstream.id, "busy")

    def test_shorter_pauses_keep_long_prompts_from_streams(self):
        """Load pattern: long prompts beside many short streams that allow pauses of 0.5 s only.

        Guards against one limit for all routes: a prompt of 17,000 tokens, or two, made most
        streams of an engine late, in phases in which it works at less than half of its speed.
        """
        busy = candidate(running=12, name="busy")
        calm = candidate(running=1, waiting=1, waiting_tokens=4_000, name="calm")
        for pause_seconds, expected in ((0.5, "calm"), (2.0, "busy")):
            long = placement.Prompt(own_tokens=17_000, pause_seconds=pause_seconds)
            chosen = self.policy.choose([busy, calm], long, self.rng)
            self.assertEqual(chosen.upstream.id, expected)

    def test_streams_of_a_full_region_go_to_the_other(self):
        """Load pattern: one region keeps one runner while its zones are reclaimed.

        Guards against 14 streams at one runner beside two nearly idle ones in the other region.
        """
        near = placement.Candidate(builders.upstream("i-1"), placement.Load(14, 2, 4_000), 0)
        far = placement.Candidate(builders.upstream("i-2", "b"), placement.Load(2), 2)
        self.assertIs(self.policy.choose([near, far], PROMPT, self.rng), far)

    def test_a_hot_key_spreads_once_its_upstream_is_loaded(self):
        """Load pattern: much of the traffic shares one prompt part; guards against a hot spot."""
        held = placement.Prompt("hot", 5_000, 1_000, {"i-1": 2.0})
        calm = [candidate(name="i-1"), candidate(name="i-2")]
        self.assertEqual(self.policy.choose(calm, held, self.rng).upstream.id, "i-1")
        loaded = [candidate(20, 4, 16_000, "i-1"), candidate(name="i-2")]
        self.assertEqual(self.policy.choose(loaded, held, self.rng).upstream.id, "i-2")

    def test_another_region_is_chosen_only_for_a_clear_gain(self):
        """Load pattern: even traffic in all zones; guards against needless inter-region traffic."""
        near = placement.Candidate(builders.upstream("i-1"), placement.Load(4, 0, 0), 0)
        far = placement.Candidate(builders.upstream("i-2", "b"), placement.Load(), 2)
        self.assertIs(self.policy.choose([near, far], PROMPT, self.rng), near)
        overloaded = placement.Candidate(builders.upstream("i-1"), placement.Load(30, 5, 30_000), 0)
        self.assertIs(self.policy.choose([overloaded, far], PROMPT, self.rng), far)

    def test_entries_agree_on_the_preferred_upstream_of_a_part(self):
        """Guards against prefilling a shared part at a different runner for each entry."""
        names = [f"i-{number}" for number in range(6)]
        chosen = set()
        for seed in range(20):
            rng = random.Random(seed)
            shuffled = [candidate(name=name) for name in rng.sample(names, len(names))]
            chosen.add(self.policy.choose(shuffled, PROMPT, rng).upstream.id)
        self.assertEqual(len(chosen), 1)

    def test_the_cache_of_a_shared_part_is_copied(self):
        """Load pattern: many requests share few parts; the holder is busy, others are free.

        Guards against queueing at the holder although another upstream can copy its KV cache.
        """
        held = prompt(5_000, 1_000, SMALL_CACHE)
        busy, free = candidate(9, 1, 2_000, "i-1"), candidate(2, 0, 0, "i-2")
        self.assertIs(self.policy.choose([busy, free], held, self.rng), free)
        self.assertEqual(held.missing_tokens(free.upstream), 0)
        not_copied = placement.Prompt("part", 5_000, 1_000, {"i-1": 2.0})
        self.assertEqual(
            [not_copied.missing_tokens(each.upstream) for each in (busy, free)], [0, 5_000]
        )

    def test_a_large_cache_is_used_where_it_is(self):
        """Load pattern: long shared parts with a KV cache of 131 kB per token, at light load.

        Guards against copies that queue on the links of the upstreams for a second and more: each
        takes nearly as long as prefilling the part.
        """
        held = prompt(13_300, 3_700, LARGE_CACHE)
        holder, other = candidate(6, 1, 1_500, "i-1"), candidate(3, 0, 0, "i-2")
        self.assertIs(self.policy.choose([holder, other], held, self.rng), holder)
        away = candidate(3, 0, 0, "i-3", zone="b")
        self.assertIsNone(held.copy_seconds(away.upstream))
        self.assertEqual(held.missing_tokens(away.upstream), 13_300)

    def test_nothing_is_copied_from_another_software_version(self):
        """Load pattern: a release, with the shared part at upstreams of the old version only.

        Guards against KV caches that the version which gets them did not write.
        """
        held = prompt(5_000, 1_000, SMALL_CACHE)
        old, new = (
            dataclasses.replace(builders.upstream(name), version=version)
            for name, version in (("i-2", ""), ("i-3", "v2"))
        )
        self.assertIsNotNone(held.copy_seconds(old))
        self.assertIsNone(held.copy_seconds(new))
        self.assertEqual([held.missing_tokens(each) for each in (old, new)], [0, 5_000])

    def test_short_parts_are_never_copied(self):
        """Load pattern: short prompts beside long ones.

        Guards against short prompts that wait for the copies of long ones.
        """
        other = candidate(name="i-2")
        for engine, tokens in ((SMALL_CACHE, 200), (LARGE_CACHE, 350)):
            self.assertIsNone(prompt(tokens, 600, engine).copy_seconds(other.upstream))

    def test_a_failing_upstream_is_avoided(self):
        """Load pattern: one runner fails its requests while it announces itself as ready.

        Guards against sending it more requests because its load is low.
        """
        failing = placement.Candidate(builders.upstream("i-1"), placement.Load(), 0, failures=2.0)
        healthy = candidate(8, 0, 0, "i-2")
        self.assertIs(self.policy.choose([failing, healthy], PROMPT, self.rng), healthy)


if __name__ == "__main__":
    unittest.main()
