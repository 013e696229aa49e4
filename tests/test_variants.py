"""Variants of site files: repeatable, and only of what is meant to vary."""

from bench.variants import variant

SITE = """name = "x"
  { class = "side", zone = "z", count = 4, app = "a" },
  { name = "a", node = { cpu = 1, kinds = ["a"], rack = 3, guards = false } },
  { name = "q", jobs = { gang = 0.0, timed = 0.0, needs = 0.0, apart = 0.1 } },
  { name = "k", jobs = { lasts = true, gang = 0.0, needs = 0.0, apart = 0.5 } },
"""


def test_a_seed_gives_the_same_variant_each_time():
    assert variant(SITE, 3) == variant(SITE, 3)
    assert len({variant(SITE, seed) for seed in range(20)}) > 10


def test_tasks_that_last_get_no_gangs_and_labels_need_workers_that_have_them():
    for seed in range(30):
        lines = variant(SITE, seed).splitlines()
        assert 'gang = 0.0' in lines[4]
        has_labels = any(
            f'needs = 0.{digit}' in line
            for digit in range(1, 9)
            for line in lines
        )
        assert has_labels == ('kinds = ["a", "b"]' in lines[2])
