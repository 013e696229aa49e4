"""Compute docs/CAPACITY.md from its own formulas and the stored slopes.

``python -m bench.capacity`` rewrites the value cells of the page's tables.
A computed row has the form ``| name | what | value | basis | `formula` |``.
A formula may use numbers, names of rows above it, ``[slope.id]`` for what one
more unit costs, ``[slope.id@N]`` for the fitted cost at N units,
``[slope.id=N]`` for the measured value at N units, and the
functions ``ceil``, ``max`` and ``min``. ``A within B`` compares.
"""

import json
import math
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'
SLOPES = ROOT / 'bench' / 'results' / 'slopes.json'
BASES = ('given', 'measured', 'derived', 'assumed')
_SLOPE = re.compile(r'\[([a-z.]+)(?:([@=])([a-z_0-9.]+))?\]')
_ALLOWED = re.compile(r'[a-z_0-9.+\-*/() ,e]*')
_FUNCTIONS = {'ceil': math.ceil, 'max': max, 'min': min}


def load_slopes():
    return json.loads(SLOPES.read_text())['slopes']


def format_figure(number):
    """Format a number with three significant digits and commas."""
    if number == 0:
        return '0'
    digits = 2 - math.floor(math.log10(abs(number)))
    rounded = round(number, digits)
    return f'{rounded:,.{max(digits, 0)}f}'


class FormulaSheet:
    """Values of the rows evaluated so far.

    Attributes:
        value_by_name: Results by the name of their row.
        used_slopes: Ids of the slopes that formulas refer to.
    """

    def __init__(self, slopes):
        self.slopes = slopes
        self.value_by_name = {}
        self.used_slopes = set()

    def evaluate(self, formula):
        def cost(match):
            slope = self.slopes[match[1]]
            self.used_slopes.add(match[1])
            if match[2] is None:
                return repr(slope['slope'])
            if match[2] == '=':
                return repr(dict(slope['points'])[int(match[3])])
            return f'({slope["intercept"]!r} + {slope["slope"]!r} * {match[3]})'

        expression = _SLOPE.sub(cost, formula)
        assert _ALLOWED.fullmatch(expression), f'not a formula: {formula}'
        names = {**_FUNCTIONS, **self.value_by_name}
        return eval(expression, {'__builtins__': {}}, names)  # noqa: S307

    def evaluate_cell(self, name, formula):
        value_formula, _, limit_formula = formula.partition(' within ')
        value = self.evaluate(value_formula)
        self.value_by_name[name] = value
        if not limit_formula:
            return format_figure(value)
        limit = self.evaluate(limit_formula)
        verdict = (
            'fits'
            if value <= limit
            else f'**over {format_figure(value / limit)}x**'
        )
        return f'{format_figure(value)} of {format_figure(limit)}: {verdict}'


def render(page, slopes):
    """Return the page with all values recomputed, and its sheet."""
    sheet = FormulaSheet(slopes)
    lines = []
    for line in page.splitlines():
        cells = [part.strip() for part in line.strip('|').split('|')]
        is_figure = line.startswith('|') and cells[-1].startswith('`')
        if is_figure and len(cells) == 5:
            assert cells[3] in BASES, f'no basis: {line}'
            name = cells[0].strip('`')
            assert name not in sheet.value_by_name, f'twice: {name}'
            cells[2] = sheet.evaluate_cell(name, cells[4].strip('`'))
            line = f'| {" | ".join(cells)} |'
        lines.append(line)
    return '\n'.join(lines) + '\n', sheet


if __name__ == '__main__':
    PAGE.write_text(render(PAGE.read_text(), load_slopes())[0])
