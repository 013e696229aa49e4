"""The tables of events and errors in docs/ agree with the code."""

import ast
import pathlib

from hyssopring.errors import ANSWERS_BY_KIND, ErrorKind
from hyssopring.logs import Event, level_of

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_table(page, columns):
    """Return a table of a page: rows by first cell, cut to ``columns``."""
    lines = (ROOT / page).read_text().splitlines()
    rows = [line.strip('| ').split(' | ') for line in lines if line[:2] == '| ']
    assert all(len(row) == len(rows[0]) and all(row) for row in rows)
    return {row[0]: row[:columns] for row in rows[1:]}


def logged_fields():
    """Return the keywords of all calls of ``log_event`` by event name."""
    names_by_event = {name: set() for name in Event.__members__}
    for path in (ROOT / 'hyssopring').rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if getattr(getattr(node, 'func', None), 'id', '') != 'log_event':
                continue
            for part in ast.walk(node.args[0]):
                if getattr(part, 'attr', '') in names_by_event:
                    names_by_event[part.attr].update(
                        keyword.arg for keyword in node.keywords
                    )
    return names_by_event


def test_event_catalogue_lists_number_name_level_and_fields():
    fields = logged_fields()
    expected = {}
    for event in Event:
        names = ', '.join(sorted(fields[event.name])) or '-'
        number = str(event.value)
        expected[number] = [number, event.name, level_of(event), names]
    documented = read_table('docs/EVENTS.md', 4)
    outdated_rows = [
        f'| {" | ".join(row)} | WHEN | WHAT TO DO |'
        for number, row in expected.items()
        if documented.get(number) != row
    ]
    assert not outdated_rows, 'rows for docs/EVENTS.md:\n' + '\n'.join(
        outdated_rows
    )
    assert documented.keys() == expected.keys()


def test_error_table_lists_all_error_kinds():
    expected = {}
    for kind in ErrorKind:
        answer = ANSWERS_BY_KIND[kind]
        name = f'`{kind.value}`'
        after = str(answer.retry_after_ms or '-')
        row = [name, str(answer.status), answer.run_state.value, after]
        expected[name] = row
    assert read_table('docs/ERRORS.md', 4) == expected
