"""Tests that the capacity page agrees with the stored measurements."""

import json

from bench.capacity import PAGE, SLOPES, load_slopes, render
from bench.slopes_fit import slope_record


def test_page_agrees_with_the_stored_slopes():
    """The page or the stored slopes are changed without the other.

    VMs would then be bought by figures that no measurement supports, so each
    figure of the page is computed again from its own formula.
    """
    page = PAGE.read_text()
    recomputed, sheet = render(page, load_slopes())
    assert recomputed == page, 'run python -m bench.capacity'
    assert len(sheet.used_slopes) > 20


def test_stored_fits_follow_from_their_raw_points():
    record = json.loads(SLOPES.read_text())
    for name, slope in record['slopes'].items():
        run = record['runs'][slope['run']]
        assert {'date', 'command', 'machine'} <= run.keys()
        recomputed = slope_record([tuple(point) for point in slope['points']])
        assert len(slope['points']) >= 4, name
        for part in ('intercept', 'slope'):
            scale = max(abs(y) for _, y in slope['points']) or 1
            assert abs(recomputed[part] - slope[part]) < 1e-3 * scale, (
                name,
                part,
            )


def test_a_wrong_figure_and_a_wrong_verdict_are_detected():
    row = '| a | b | 3.00 of 2.00: fits | derived | `1 + 2 within 2` |\n'
    recomputed, _ = render(row, {})
    assert '3.00 of 2.00: **over 1.50x**' in recomputed
