"""Idle cost of membership and its distribution over the entries.

``python -m bench.membership [--quick]``. Real daemons over loopback sockets
with emulated peers (``bench.peers``): idle cost of one agent by number of
entries and of one entry by number of agents, with the fit and its error, then
the entry with the heartbeat interval that it requests. Subsets and totals at
5,100 agents are computed from the fits. Byte counts are those of the
transports, plus `HEADER_BYTES`.
"""

import statistics
import sys
import time

from bench.slopes import show
from bench.slopes_daemons import Daemons, grow
from bench.slopes_fit import slope_record
from bench.slopes_processes import Processes, free_address
from hyssopring.membership import heartbeat_interval_ms
from hyssopring.membership.subset import FULL_MESH, choose_entries
from hyssopring.protocol.messages import EntryMember

AGENTS = 5100
ZONES = 7
# A heartbeat, its ack and one bare TCP ack: three segments of 66 bytes of
# Ethernet, IP and TCP headers with timestamps.
HEADER_BYTES = 3 * 66
METRICS = ('cpu', 'sent', 'received')


def main():
    is_quick = '--quick' in sys.argv[1:]
    daemons = Daemons(*((1.0, 1.5) if is_quick else (8.0, 11.0)), is_quick)
    points = {
        **grow(
            'agent.entries',
            daemons.sizes(0, 4, 8, 16, 24),
            lambda entries: daemons.agent(entries=entries, backends=1),
            METRICS,
        ),
        **grow(
            'entry.agents',
            daemons.sizes(0, 24, 48, 72, 96),
            lambda agents: daemons.entry(agents=agents),
            METRICS,
        ),
    }
    slopes = {name: slope_record(sizes) for name, sizes in points.items()}
    print('Per connection at one heartbeat a second:')
    for name, slope in slopes.items():
        show(name, slope)
    print('One entry at the pace that it asks for:')
    for agents in daemons.sizes(96, 192, 384):
        measure_paced_entry(daemons, agents)
    print(f'Worked out at {AGENTS} agents, {FULL_MESH} entries each:')
    for entries in (12, 40, 60):
        show_costs(entries, slopes)


def measure_paced_entry(daemons, agents):
    with Processes() as processes:
        table = free_address()
        processes.spawn('standins.table', table)
        time.sleep(0.7)
        node = processes.entry(table)
        node.configure()
        processes.spawn(
            'bench.peers', 'agents', node.inner_address, agents, 1, 'paced'
        )
        time.sleep(daemons.settle_s + 6 + agents * 0.003)
        used = node.measure(daemons.window_s)
        print(
            f'    {agents} agents: {heartbeat_interval_ms(agents):.0f} ms,'
            f' {used["cpu"]:.1f} ms of processor time a second,'
            f' {used["sent"]:.0f} B/s sent, {used["received"]:.0f} B/s received'
        )


def show_costs(entries, slopes):
    members = [
        EntryMember(f'entry-{n}', f'10.0.0.{n}:1', f'zone-{n % ZONES}')
        for n in range(entries)
    ]
    counts = dict.fromkeys(members, 0)
    for number in range(AGENTS):
        for member in choose_entries(f'agent-{number}', members):
            counts[member] += 1
    mean = statistics.mean(counts.values())
    interval_ms = heartbeat_interval_ms(mean)
    links = min(entries, FULL_MESH)

    def cost(name, count):
        rate = count * 1000 / interval_ms
        payload = sum(
            slopes[f'{name}.{way}']['slope'] for way in ('sent', 'received')
        )
        return (
            f'{rate:.1f} beats/s,'
            f' {rate * (payload + HEADER_BYTES) / 1000:.2f} KB/s,'
            f' {rate * slopes[f"{name}.cpu"]["slope"] / 10:.2f} % of a core'
        )

    print(
        f'    {entries} entries: {mean:.0f} agents each'
        f' ({min(counts.values())} to {max(counts.values())}),'
        f' a heartbeat each {interval_ms / 1000:.1f} s'
    )
    print(f'        agent: {cost("agent.entries", links)}')
    print(f'        entry: {cost("entry.agents", mean)}')
    missed = (1 - links / entries) ** 11
    print(
        f'        an entry reaches {11 * links / entries:.1f} of 11 backends'
        f' of a service on average, none with probability {missed:.4f}'
    )


if __name__ == '__main__':
    main()
