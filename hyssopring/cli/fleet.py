"""Puts together what all entries say.

Each entry knows the shards that it plans and the agents connected to it; the
whole is the union of what the entries in the table's list answer.
"""

import time
from dataclasses import dataclass, field
from typing import Any, Iterator, Mapping

from result import Err, Ok, Result

from hyssopring.cli.client import OperatorClient
from hyssopring.cli.exits import CommandFailure, ExitCode

__all__ = ('Fleet', 'read_fleet', 'wait_in_force')

_WAIT_S = 10
_POLL_S = 0.1

Page = Mapping[str, Any]


@dataclass(slots=True)
class Fleet:
    """The same page from every entry, and the entries that gave none."""

    page_by_entry: dict[str, Page] = field(default_factory=dict)
    silent_by_entry: dict[str, str] = field(default_factory=dict)

    def rows(self, name: str) -> Iterator[Page]:
        """Return the rows of one list in all pages."""
        for entry in sorted(self.page_by_entry):
            yield from self.page_by_entry[entry].get(name, ())

    @property
    def version_by_process(self) -> dict[str, int]:
        """The configuration version in force, by entry and agent.

        -1 stands for an entry that is listed but gives no answer.
        """
        version_by_name = dict.fromkeys(self.silent_by_entry, -1)
        for entry, page in self.page_by_entry.items():
            version_by_name[entry] = page['configuration']
        for agent in self.rows('agents'):
            known = version_by_name.get(agent['id'], 0)
            version_by_name[agent['id']] = max(known, agent['configuration'])
        return version_by_name


def read_fleet(
    client: OperatorClient,
    path: str,
) -> Result[Fleet, CommandFailure]:
    """Read a page from every entry; fail only if the first gives none."""
    first = client.get('status')
    if first.is_err():
        return Err(first.unwrap_err())
    status = first.unwrap()
    fleet = Fleet()
    addresses = {status['entry']: client.address}
    for entry, address in status['operators'].items():
        addresses.setdefault(entry, address)
    for name, operator_address in addresses.items():
        answer = client.at(operator_address).get(path)
        if answer.is_ok():
            fleet.page_by_entry[name] = answer.unwrap()
        elif answer.unwrap_err().exit_code is ExitCode.REFUSED:
            return Err(answer.unwrap_err())
        else:
            fleet.silent_by_entry[name] = answer.unwrap_err().line
    return Ok(fleet)


def wait_in_force(
    client: OperatorClient,
    version: int,
) -> Result[str, CommandFailure]:
    """Wait until every process reports this version or a newer one."""
    deadline = time.monotonic() + _WAIT_S
    late: list[str] = []
    while time.monotonic() < deadline:
        answer = read_fleet(client, 'status')
        if answer.is_err():
            return Err(answer.unwrap_err())
        version_by_process = answer.unwrap().version_by_process
        late = [
            name
            for name in sorted(version_by_process)
            if version_by_process[name] < version
        ]
        if not late:
            return Ok(f'version {version} is in force everywhere')
        time.sleep(_POLL_S)
    line = f'version {version} is not in force on {", ".join(late)}'
    return Err(CommandFailure(ExitCode.NOT_IN_FORCE, line))
