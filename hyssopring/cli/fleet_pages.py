"""Reads a page of the operator API from every entry.

An entry's page covers the shards that it plans and the agents connected to
it; the state of the fleet is the union of the pages of all listed entries.
"""

import time
from dataclasses import dataclass, field
from typing import Any, Iterator, Mapping

from result import Err, Ok, Result

from hyssopring.cli.client import OperatorClient
from hyssopring.cli.exits import CommandFailure, ExitCode

__all__ = ('FleetPages', 'read_fleet_pages', 'wait_until_in_force')

_WAIT_TIMEOUT_S = 10
_POLL_INTERVAL_S = 0.1

Page = Mapping[str, Any]


@dataclass(slots=True)
class FleetPages:
    """The same page of every entry.

    Attributes:
        page_by_entry: The pages, by the id of the entry.
        failure_by_entry: Why the page could not be read, by the id of the
            entry.
    """

    page_by_entry: dict[str, Page] = field(default_factory=dict)
    failure_by_entry: dict[str, str] = field(default_factory=dict)

    def rows(self, name: str) -> Iterator[Page]:
        """Yield the elements of the list ``name`` of all pages."""
        for entry in sorted(self.page_by_entry):
            yield from self.page_by_entry[entry].get(name, ())

    @property
    def version_by_process(self) -> dict[str, int]:
        """The configuration version in force, by the id of entry or agent.

        The version of an entry that could not be read is -1.
        """
        version_by_name = dict.fromkeys(self.failure_by_entry, -1)
        for entry, page in self.page_by_entry.items():
            version_by_name[entry] = page['configuration']
        for agent in self.rows('agents'):
            reported = version_by_name.get(agent['id'], 0)
            version_by_name[agent['id']] = max(reported, agent['configuration'])
        return version_by_name


def read_fleet_pages(
    client: OperatorClient,
    path: str,
) -> Result[FleetPages, CommandFailure]:
    """Read a page from every entry.

    Args:
        client: A client of one entry, which lists the others.
        path: The path of the page.

    Returns:
        The pages. It is a failure if the entry of ``client`` cannot be read
        or if any entry refuses; other entries that cannot be read are listed
        in ``FleetPages.failure_by_entry``.
    """
    status_result = client.get('status')
    if status_result.is_err():
        return Err(status_result.unwrap_err())
    status = status_result.unwrap()
    fleet = FleetPages()
    addresses = {status['entry']: client.address}
    for entry, address in status['operators'].items():
        addresses.setdefault(entry, address)
    for name, operator_address in addresses.items():
        page_result = client.at(operator_address).get(path)
        if page_result.is_ok():
            fleet.page_by_entry[name] = page_result.unwrap()
        elif page_result.unwrap_err().exit_code is ExitCode.REFUSED:
            return Err(page_result.unwrap_err())
        else:
            fleet.failure_by_entry[name] = page_result.unwrap_err().line
    return Ok(fleet)


def wait_until_in_force(
    client: OperatorClient,
    version: int,
) -> Result[str, CommandFailure]:
    """Wait until every process reports this version or a newer one.

    Returns:
        A line for the operator. After 10 s it is a failure that names the
        processes with an older version.
    """
    deadline = time.monotonic() + _WAIT_TIMEOUT_S
    outdated: list[str] = []
    while time.monotonic() < deadline:
        page_result = read_fleet_pages(client, 'status')
        if page_result.is_err():
            return Err(page_result.unwrap_err())
        version_by_process = page_result.unwrap().version_by_process
        outdated = [
            name
            for name in sorted(version_by_process)
            if version_by_process[name] < version
        ]
        if not outdated:
            return Ok(f'version {version} is in force everywhere')
        time.sleep(_POLL_INTERVAL_S)
    line = f'version {version} is not in force on {", ".join(outdated)}'
    return Err(CommandFailure(ExitCode.NOT_IN_FORCE, line))
