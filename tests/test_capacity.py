"""The capacity page agrees with the slopes that were stored."""

import json

from bench.capacity import PAGE, SLOPES, load_slopes, render
from bench.slopes_fit import slope_record


def test_page_agrees_with_the_stored_slopes():
    """A planner buys VMs by a page that no measurement backs.

    Someone measures afresh, or edits a figure, and the other stays; each
    figure of the page is worked out again here from its own formula.
    """
    page = PAGE.read_text()
    again, sheet = render(page, load_slopes())
    assert again == page, 'run python -m bench.capacity'
    assert len(sheet.used) > 20


def test_stored_fits_follow_from_their_raw_points():
    record = json.loads(SLOPES.read_text())
    for name, slope in record['slopes'].items():
        run = record['runs'][slope['run']]
        assert {'date', 'command', 'machine'} <= run.keys()
        again = slope_record([tuple(point) for point in slope['points']])
        assert len(slope['points']) >= 4, name
        for part in ('intercept', 'slope'):
            scale = max(abs(y) for _, y in slope['points']) or 1
            assert abs(again[part] - slope[part]) < 1e-3 * scale, (name, part)


def test_a_wrong_figure_and_a_wrong_verdict_are_noticed():
    row = '| a | b | 3.00 of 2.00: fits | derived | `1 + 2 within 2` |\n'
    again, _ = render(row, {})
    assert '3.00 of 2.00: **over 1.50x**' in again
