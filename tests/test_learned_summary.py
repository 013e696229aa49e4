"""The summary of what an owner has learned, and its text."""

import base64
import json
import random
import zlib
from dataclasses import replace

import pytest

from hyssopring.jobs.interference import PRIOR
from hyssopring.learning.pairs import Pair
from hyssopring.learning.run_times import MAX_KEYS, RunTimes
from hyssopring.learning.summary import StoredRuns, Summary
from hyssopring.learning.summary_text import (
    MAX_TEXT_BYTES,
    SummaryError,
    decode_summary,
    encode_summary,
)

NOW_MS = 1_700_000_000_000
HOUR_MS = 3_600_000
RUNS = StoredRuns([(100.0, 30), (700.0, 2)], [(1.0, 32)])
SUMMARY = Summary(
    NOW_MS,
    {
        ('keeper', 'mild'): Pair(0.02, 0.01),
        ('keeper', 'loud'): Pair(0.4, 0.0025),
        ('other', 'loud'): Pair(-0.05, 0.04),
    },
    {'image:cut': RUNS},
    {'boot-1': 0.25},
)


def body_of(text):
    return json.loads(
        zlib.decompress(base64.b64decode(json.loads(text)['body']))
    )


def text_with(body=None, **fields):
    """Return a text whose body or fields are replaced."""
    envelope = json.loads(encode_summary(SUMMARY))
    if body is not None:
        packed = zlib.compress(json.dumps(body).encode())
        envelope['body'] = base64.b64encode(packed).decode()
    return json.dumps({**envelope, **fields})


def large_summary(keepers=50, best_effort=150, name_chars=30):
    rng = random.Random(4)
    pair_by_images = {
        (f'keeper-{one}'.ljust(name_chars, 'x'), f'batch-{other}'): Pair(
            rng.uniform(-0.1, 1), rng.uniform(0.001, 0.1)
        )
        for one in range(keepers)
        for other in range(best_effort)
    }
    run_times = RunTimes()
    for key in range(MAX_KEYS):
        for _end in range(60):
            run_times.record(
                f'image:batch-{key}'.ljust(name_chars, 'x'),
                rng.uniform(100, 9000),
                rng.lognormvariate(7, 1),
            )
    return Summary(NOW_MS, pair_by_images, run_times.to_stored())


def test_a_summary_is_the_same_after_its_text():
    decoded, problems = decode_summary(encode_summary(SUMMARY), NOW_MS)
    assert not problems
    assert decoded.saved_ms == NOW_MS
    for images, pair in SUMMARY.pair_by_images.items():
        known = decoded.pair_by_images[images]
        assert known.mean == pytest.approx(pair.mean, abs=0.0026)
        assert known.variance == pytest.approx(pair.variance, rel=0.12)
    runs = decoded.runs_by_key['image:cut']
    assert [count for _time, count in runs.times_ms] == [30, 2]
    assert runs.times_ms[1][0] == pytest.approx(700, rel=0.02)
    assert decoded.speed_by_boot['boot-1'] == pytest.approx(0.25, rel=0.03)


def test_all_pairs_of_200_images_fit():
    text = encode_summary(large_summary())
    assert len(text) < MAX_TEXT_BYTES
    decoded, problems = decode_summary(text, NOW_MS)
    assert not problems
    assert len(decoded.pair_by_images) == 7500
    assert len(decoded.runs_by_key) == MAX_KEYS


def test_what_does_not_fit_is_what_is_known_least():
    """Guards against a write that the store refuses for its size."""
    large = large_summary(keepers=90, best_effort=300, name_chars=200)
    text = encode_summary(large)
    assert len(text) <= MAX_TEXT_BYTES
    kept = decode_summary(text, NOW_MS)[0].pair_by_images
    variances = sorted(large.pair_by_images[images].variance for images in kept)
    everything = sorted(pair.variance for pair in large.pair_by_images.values())
    assert len(kept) > 1000
    assert variances == everything[: len(variances)]


def test_a_name_of_many_characters_is_left_out():
    long_pair = {('keeper', 'x' * 30_000): Pair(0.1, 0.001)}
    summary = replace(
        SUMMARY, pair_by_images={**SUMMARY.pair_by_images, **long_pair}
    )
    decoded = decode_summary(encode_summary(summary), NOW_MS)[0]
    assert decoded.pair_by_images.keys() == SUMMARY.pair_by_images.keys()


@pytest.mark.parametrize(
    'text',
    [
        '',
        'learned',
        '[]',
        '{}',
        encode_summary(SUMMARY)[:-40],
        text_with(version=0),
        text_with(version=2),
        text_with(version='1'),
        text_with(version=[]),
        text_with(saved_ms=None),
        text_with(saved_ms='1'),
        text_with(saved_ms=-1),
        text_with(saved_ms=float('nan')),
        text_with(saved_ms=NOW_MS + HOUR_MS),
        text_with(body=[]),
        text_with(body={}),
        text_with(body={'names': [1]}),
        json.dumps({**json.loads(text_with()), 'body': 7}),
        json.dumps({**json.loads(text_with()), 'body': 'é'}),
        json.dumps({**json.loads(text_with()), 'body': 'AAAA'}),
        json.dumps(
            {
                **json.loads(text_with()),
                'body': json.loads(text_with())['body'][:-8],
            }
        ),
        text_with(body='x' * 2_000_000),
    ],
)
def test_an_unusable_text_is_an_error(text):
    with pytest.raises(SummaryError):
        decode_summary(text, NOW_MS)


@pytest.mark.parametrize(
    'columns',
    [
        None,
        [[1], [2]],
        [[1], [2], [3, 4]],
        [[0], [2], [3]],
        [[-1], [2], [3]],
        [[3], [2], [3]],
        [[1], [10**9], [3]],
        [[1], [2], [10**9]],
        [[1], [2], [-1]],
        [[1], [2.5], [3]],
        [['1x'], [2], [3]],
    ],
)
def test_a_bad_part_is_ignored_alone(columns):
    body = body_of(encode_summary(SUMMARY))
    body['pairs']['keeper'] = columns
    summary, problems = decode_summary(text_with(body), NOW_MS)
    assert summary.pair_by_images.keys() == {('other', 'loud')}
    assert summary.runs_by_key.keys() == {'image:cut'}
    assert len(problems) == 1 and 'keeper' in problems[0]


@pytest.mark.parametrize(
    ('part', 'bad', 'ignored'),
    [
        ('runs', {'image:cut': [[300, 1, 2], []]}, 'image:cut'),
        ('runs', {'image:cut': [[300, 0], []]}, 'image:cut'),
        ('runs', {'image:cut': [[300, 10**6], []]}, 'image:cut'),
        ('runs', {'image:cut': [[10**6, 1], []]}, 'image:cut'),
        ('runs', {'image:cut': [[-1, 1], []]}, 'image:cut'),
        ('runs', [], 'runs'),
        ('speeds', {'boot-1': -1}, 'boot-1'),
        ('speeds', {'boot-1': 10**400}, 'boot-1'),
        ('pairs', 5, 'pairs'),
    ],
)
def test_other_bad_parts_are_ignored_alone(part, bad, ignored):
    body = body_of(encode_summary(SUMMARY))
    body[part] = bad
    summary, problems = decode_summary(text_with(body), NOW_MS)
    assert len(problems) == 1 and ignored in problems[0]
    sizes = map(
        len,
        (summary.pair_by_images, summary.runs_by_key, summary.speed_by_boot),
    )
    assert sorted(sizes).count(0) == 1


def test_random_changes_of_a_text_are_errors_or_problems():
    """Guards against any other exception, which would stop the load."""
    text = encode_summary(large_summary(keepers=3, best_effort=8))
    rng = random.Random(5)
    for _each in range(500):
        position = rng.randrange(len(text))
        changed = text[:position] + chr(rng.randrange(32, 127))
        changed += text[position + rng.randrange(3) :]
        try:
            decode_summary(changed, NOW_MS)
        except SummaryError:
            continue


def test_age_widens_pairs_and_halves_runs():
    fresh = SUMMARY.aged(NOW_MS, PRIOR.variance)
    loud = ('keeper', 'loud')
    before = SUMMARY.pair_by_images[loud].variance
    assert before < fresh.pair_by_images[loud].variance < 2 * before
    assert fresh.runs_by_key['image:cut'].ends == 32
    half_hour = SUMMARY.aged(NOW_MS + HOUR_MS / 2, PRIOR.variance)
    assert half_hour.pair_by_images[loud].variance > 0.05
    old = SUMMARY.aged(NOW_MS + HOUR_MS, PRIOR.variance)
    assert not old.pair_by_images
    assert old.runs_by_key['image:cut'].ends == 16


def test_a_clock_behind_the_writers_counts_the_summary_as_new():
    assert SUMMARY.aged(NOW_MS - 50, 1) == SUMMARY.aged(NOW_MS, 1)


def test_small_changes_of_pairs_need_no_write():
    pairs = {('k', f'{number}'): Pair(0.1, 0.01) for number in range(100)}
    saved = Summary(NOW_MS, pairs)
    noise = {images: Pair(0.11, 0.009) for images in pairs}
    one = {**pairs, ('k', '1'): Pair(0.5, 0.01)}
    five = {**pairs, **{('k', f'{n}'): Pair(0.5, 0.01) for n in range(5)}}
    assert not Summary(NOW_MS, noise).has_changed_since(saved)
    assert not Summary(NOW_MS, one).has_changed_since(saved)
    assert Summary(NOW_MS, five).has_changed_since(saved)
    assert Summary(NOW_MS, pairs, {'k': RUNS}).has_changed_since(saved)


def test_stored_run_times_serve_the_next_owner():
    rng = random.Random(6)
    run_times = RunTimes()
    for _end in range(400):
        factor = 7 if rng.random() < 0.03 else 1
        run_times.record('image:cut', 500, factor * rng.uniform(900, 1100))
    for _generation in range(10):
        summary = Summary(NOW_MS, {}, run_times.to_stored())
        decoded = decode_summary(encode_summary(summary), NOW_MS)[0]
        run_times = RunTimes()
        run_times.add(decoded.runs_by_key)
    assert run_times.expected_ms('image:cut', 500) == pytest.approx(
        1150, rel=0.15
    )
    quantile_ms = run_times.quantile_ms('image:cut', 500, 0.5)
    assert quantile_ms == pytest.approx(1000, rel=0.15)


def test_stored_runs_are_made_anew_only_after_enough_ends():
    """Guards against a read of all histograms at each write."""
    run_times = RunTimes()
    for _end in range(100):
        run_times.record('k', 100, 100)
    stored = run_times.to_stored()['k']
    run_times.record('k', 100, 100)
    assert run_times.to_stored()['k'] is stored
    for _end in range(20):
        run_times.record('k', 100, 900)
    assert run_times.to_stored()['k'] != stored
