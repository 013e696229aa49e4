"""Subcommands: the daemons, and what operators use."""

import json
import pathlib
import sys
from typing import Any, TypeVar

from pydantic import BaseModel

from hyssopring.cli.client import OperatorClient
from hyssopring.logs import configure_logging
from hyssopring.settings import AgentSettings, EntrySettings, load_settings

__all__ = ('Commands',)

_USAGE_EXIT = 2
_Model = TypeVar('_Model', bound=BaseModel)


class Commands:
    """Scheduler for colocated latency-critical and batch work."""

    def entry(self, settings: str) -> None:
        """Run an entry with the settings in a file."""
        from twisted.internet import reactor  # noqa: PLC0415, WPS433

        from hyssopring.entry.daemon import EntryDaemon  # noqa: WPS433

        loaded = _load(settings, EntrySettings)
        configure_logging(loaded.log_level)
        _run(reactor, EntryDaemon(reactor, loaded))

    def agent(self, settings: str) -> None:
        """Run an agent with the settings in a file."""
        from twisted.internet import reactor  # noqa: PLC0415, WPS433

        from hyssopring.agent.daemon import AgentDaemon  # noqa: WPS433

        loaded = _load(settings, AgentSettings)
        configure_logging(loaded.log_level)
        _run(reactor, AgentDaemon(reactor, loaded))

    def check(self, settings: str, role: str = 'entry') -> None:
        """Check a settings file and do nothing else."""
        model = AgentSettings if role == 'agent' else EntrySettings
        _load(settings, model)
        _say(f'{settings}: good')

    def submit(
        self,
        key: str,
        file: str,
        version: int = 0,
        entry: str = '',
        token: str = '',
        wait: bool = False,
    ) -> None:
        """Submit or change a template, parameters or a team's quotas."""
        document = pathlib.Path(file).read_text(encoding='utf-8')
        client = OperatorClient.from_arguments(entry, token)
        accepted = client.put(key, document, version)
        _say(json.dumps(accepted))
        if wait:
            client.wait_in_force(accepted['version'])
            _say(f'version {accepted["version"]} is in force everywhere')

    def withdraw(
        self,
        key: str,
        version: int,
        entry: str = '',
        token: str = '',
    ) -> None:
        """Withdraw a template, parameters or a team's quotas."""
        client = OperatorClient.from_arguments(entry, token)
        _say(json.dumps(client.delete(key, version)))

    def run(
        self,
        job: str,
        team: str,
        template: str,
        tasks: int = 1,
        entry: str = '',
        token: str = '',
    ) -> None:
        """Submit a batch job."""
        client = OperatorClient.from_arguments(entry, token)
        submission = {
            'job_id': job,
            'team': team,
            'template': template,
            'tasks': tasks,
        }
        _say(json.dumps(client.post_job(submission)))

    def job(self, job: str, entry: str = '', token: str = '') -> None:
        """Show a job's tasks by state."""
        client = OperatorClient.from_arguments(entry, token)
        _say(json.dumps(client.get(f'jobs/{job}')))

    def cancel(self, job: str, entry: str = '', token: str = '') -> None:
        """Cancel a job's tasks that have not ended."""
        client = OperatorClient.from_arguments(entry, token)
        _say(json.dumps(client.cancel_job(job)))

    def status(self, entry: str = '', token: str = '') -> None:
        """Show the fleet."""
        client = OperatorClient.from_arguments(entry, token)
        _say(json.dumps(client.get('status'), indent=2))


def _load(path: str, model: type[_Model]) -> _Model:
    loaded = load_settings(path, model)
    if loaded.is_err():
        sys.stderr.write(f'{loaded.unwrap_err().detail}\n')
        sys.exit(_USAGE_EXIT)
    return loaded.unwrap()


def _run(reactor: Any, daemon: Any) -> None:
    import signal  # noqa: WPS433 -- only daemons take signals

    daemon.start()
    signal.signal(
        signal.SIGTERM,
        lambda *_args: reactor.callFromThread(daemon.stop),
    )
    signal.signal(
        signal.SIGINT,
        lambda *_args: reactor.callFromThread(daemon.stop),
    )
    reactor.run(installSignalHandlers=False)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
