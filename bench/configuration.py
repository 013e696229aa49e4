"""How soon an accepted change is in force in every process.

``python -m bench.configuration [--changes N]``: three entries and six agents
as processes over loopback, with the table's stand-in. Each change goes to one
of the entries in turn; the time runs from its acceptance until every entry
shows the version for itself and for each of its agents. A third of the
changes meet a table that goes away the moment they are accepted.
"""

import argparse
import json
import statistics
import time
import urllib.request

from bench.slopes_processes import Processes, free_address

ENTRIES = 3
AGENTS = 6


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=45)
    changes = parser.parse_args().changes
    with Processes() as processes:
        table = free_address()
        worker = free_address()
        processes.spawn('standins.table', table)
        processes.spawn('standins.worker', worker)
        time.sleep(1)
        entries = [processes.entry(table, n) for n in range(ENTRIES)]
        seeds = [entries[0].inner]
        for number in range(AGENTS):
            processes.agent(seeds, worker, number)
        wait_until(entries, 0)
        times = {False: [], True: []}
        for number in range(changes):
            is_cut = number % 3 == 2
            times[is_cut].append(change(entries, number, table, is_cut))
            time.sleep(0.5)
    for is_cut, each in times.items():
        kind = 'table away at once' if is_cut else 'table there'
        print(
            f'{kind}: {len(each)} changes, median'
            f' {statistics.median(each):.2f} s, longest {max(each):.2f} s'
        )


def change(entries, number, table, is_cut):
    entry = entries[number % ENTRIES]
    answer = entry.operate(
        'PUT', f'configuration/team/t{number}', {'cores': 1.0}
    )
    start = time.monotonic()
    if is_cut:
        switch(table, True)
    wait_until(entries, answer['version'])
    took = time.monotonic() - start
    if is_cut:
        switch(table, False)
        time.sleep(3)
    return took


def switch(table, outage):
    body = json.dumps({'outage': outage}).encode()
    urllib.request.urlopen(f'http://{table}/switches', body, timeout=5).close()


def wait_until(entries, version):
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        if all(is_in_force(entry, version) for entry in entries):
            return
        time.sleep(0.02)
    raise SystemExit(f'version {version} is not in force everywhere')


def is_in_force(entry, version):
    page = entry.operate('GET', 'status')
    agents = [each['configuration'] for each in page['agents']]
    return (
        len(agents) == AGENTS and min(page['configuration'], *agents) >= version
    )


if __name__ == '__main__':
    main()
