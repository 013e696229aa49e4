"""Delay until an accepted change is in force in every process.

``python -m bench.configuration [--changes N]``: three entries and six agents
as processes over loopback, with the stand-in for the table. Changes go to the
entries in round-robin order. The delay is measured from acceptance until every
entry reports the version for itself and for each of its agents. For a third
of the changes, the table becomes unavailable as soon as they are accepted.
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
        seeds = [entries[0].inner_address]
        for number in range(AGENTS):
            processes.agent(seeds, worker, number)
        wait_until_in_force(entries, 0)
        times_s_by_is_cut = {False: [], True: []}
        for number in range(changes):
            is_cut = number % 3 == 2
            times_s_by_is_cut[is_cut].append(
                change(entries, number, table, is_cut)
            )
            time.sleep(0.5)
    for is_cut, times_s in times_s_by_is_cut.items():
        kind = 'table away at once' if is_cut else 'table there'
        print(
            f'{kind}: {len(times_s)} changes, median'
            f' {statistics.median(times_s):.2f} s, longest {max(times_s):.2f} s'
        )


def change(entries, number, table, is_cut):
    entry = entries[number % ENTRIES]
    accepted = entry.operate(
        'PUT', f'configuration/team/t{number}', {'cores': 1.0}
    )
    start = time.monotonic()
    if is_cut:
        set_outage(table, True)
    wait_until_in_force(entries, accepted['version'])
    took_s = time.monotonic() - start
    if is_cut:
        set_outage(table, False)
        time.sleep(3)
    return took_s


def set_outage(table, outage):
    body = json.dumps({'outage': outage}).encode()
    urllib.request.urlopen(f'http://{table}/switches', body, timeout=5).close()


def wait_until_in_force(entries, version):
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        if all(has_version(entry, version) for entry in entries):
            return
        time.sleep(0.02)
    raise SystemExit(f'version {version} is not in force everywhere')


def has_version(entry, version):
    status = entry.operate('GET', 'status')
    agents = [agent['configuration'] for agent in status['agents']]
    return (
        len(agents) == AGENTS
        and min(status['configuration'], *agents) >= version
    )


if __name__ == '__main__':
    main()
