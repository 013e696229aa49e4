"""The commands: the daemons, and the operators' commands."""

import inspect
import json
from functools import partial, wraps
from types import MappingProxyType
from typing import Any, Callable, ClassVar, Final, Mapping

from fire.decorators import SetParseFn
from pydantic import BaseModel, validate_call

from hyssopring import __version__
from hyssopring.cli import views
from hyssopring.cli.client import OperatorClient
from hyssopring.cli.daemons import run_agent, run_entry
from hyssopring.cli.documents import (
    load_json_text,
    load_settings_file,
    resolve_client,
    usage_failure,
)
from hyssopring.cli.exits import CommandFailure, ExitCode
from hyssopring.cli.explain_logs import explain_logs
from hyssopring.cli.fleet_pages import wait_until_in_force
from hyssopring.cli.loss_report import report_losses
from hyssopring.cli.output import (
    exit_with,
    unwrap_or_exit,
    write_json,
    write_line,
)
from hyssopring.settings import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
    check_document,
    read_document,
    role_of,
)

__all__ = ('Commands', 'PlannedCall')

PlannedCall = Callable[[], None]

_VARIADIC: Final = inspect.Parameter.VAR_POSITIONAL

_Models = Mapping[str, type[BaseModel]]
_MODEL_BY_ROLE: Final[_Models] = MappingProxyType(
    {
        'entry': EntrySettings,
        'agent': AgentSettings,
        'operator': OperatorSettings,
    }
)


def _command(method: Callable[..., None]) -> Callable[..., None]:
    """Make a method record its call, to run after the arguments are parsed.

    Arguments stay text until they are validated: the parser would read the
    job id 007 as a number.
    """
    validated = validate_call(method)
    signature = inspect.signature(method)

    @wraps(method)
    def record_call(  # noqa: WPS430 -- a decorator
        self: 'Commands',
        *positional: Any,
        **keywords: Any,
    ) -> None:
        # Bound by name, so that validation errors name the argument.
        bound = signature.bind(self, *positional, **keywords)
        if _VARIADIC in {
            parameter.kind for parameter in signature.parameters.values()
        }:
            call = partial(validated, *bound.args, **bound.kwargs)
        else:
            call = partial(validated, **bound.arguments)
        self._planned.append(call)

    return SetParseFn(str)(record_call)


class Commands:
    """Scheduler for colocated latency-critical and batch work.

    Operators' commands call one entry and learn of the others from it. Flags
    that each of them takes: --entry=HOST:PORT and --token=TOKEN (else the
    environment's HYSSOPRING_ENTRY and HYSSOPRING_TOKEN, else the file named
    by --settings=FILE or HYSSOPRING_SETTINGS), --json for scripts.

    Exit codes: 0 done; 1 refused or failed; 2 wrong usage, settings or file;
    3 no answer, so what was done is unknown; 4 accepted, but --wait ran out
    of time.
    """

    # Recorded calls; each parse sets a list of its own.
    _planned: ClassVar[list[PlannedCall]] = []

    def __init__(
        self,
        *,
        entry: str = '',
        token: str = '',
        settings: str = '',
        json: str = '',  # noqa: WPS442 -- the flag's own name
    ) -> None:
        """Store the flags that all operators' commands share."""
        self._connect = partial(resolve_client, entry, token, settings)
        self._as_json = json.lower() == 'true'

    @_command
    def entry(self, file: str) -> None:
        """Run an entry with the settings in FILE."""
        run_entry(load_settings_file(file, EntrySettings))

    @_command
    def agent(self, file: str) -> None:
        """Run an agent with the settings in FILE."""
        run_agent(load_settings_file(file, AgentSettings))

    @_command
    def check(self, file: str, *, role: str = '') -> None:
        """Check a settings FILE and do nothing else.

        The role (entry, agent or operator) is told by the file's own keys
        unless --role names it.
        """
        document = read_document(file)
        if document.is_err():
            exit_with(usage_failure(document.unwrap_err().detail))
        if role and role not in _MODEL_BY_ROLE:
            exit_with(
                usage_failure(
                    f'--role: found {role}, use entry, agent or operator'
                )
            )
        model = _MODEL_BY_ROLE.get(role) or role_of(document.unwrap())
        checked = check_document(file, document.unwrap(), model)
        if checked.is_err():
            exit_with(usage_failure(checked.unwrap_err().detail))
        write_line(f'{file}: good {model.__name__}')

    @_command
    def version(self) -> None:
        """Show the program's version."""
        write_line(__version__)

    @_command
    def submit(self, key: str, file: str, *, wait: bool = False) -> None:
        """Submit a new item from FILE (- for standard input).

        KEY is template/NAME, parameters/TEAM/TEMPLATE or team/TEAM. --wait
        returns when the item is in force in every process.
        """
        self._put_item(key, load_json_text(file), 0, wait)

    @_command
    def change(
        self,
        key: str,
        file: str,
        version: int,
        *,
        wait: bool = False,
    ) -> None:
        """Change an item to what is in FILE (- for standard input).

        VERSION is the item's version as show gave it: if somebody else has
        changed the item since, the command is refused and names the version
        that is current.
        """
        self._put_item(key, load_json_text(file), version, wait)

    @_command
    def withdraw(self, key: str, version: int, *, wait: bool = False) -> None:
        """Withdraw an item that is at VERSION."""
        client = self._connect()
        self._report_accepted(client, client.delete(key, version), wait)

    @_command
    def show(self, key: str = '', *, number: bool = False) -> None:
        """Show the configuration, or the items whose keys start with KEY.

        --number shows only the version of the one item KEY, 0 if there is
        none, as change and withdraw take it.
        """
        page = unwrap_or_exit(self._connect().get(f'configuration/{key}'))
        if number:
            write_line(str(views.item_version(page, key)))
        else:
            views.show_items(page, as_json=self._as_json)

    @_command
    def run(
        self, job: str, team: str, template: str, *, tasks: int = 1
    ) -> None:
        """Submit a batch JOB of so many tasks of a team's template."""
        submission = {
            'job_id': job,
            'team': team,
            'template': template,
            'tasks': tasks,
        }
        accepted = unwrap_or_exit(self._connect().post_job(submission))
        self._write(accepted, f'{job}: accepted')

    @_command
    def job(self, job: str) -> None:
        """Show a JOB's tasks by state, from the table."""
        job_page = unwrap_or_exit(self._connect().get(f'jobs/{job}'))
        views.show_job(job_page, as_json=self._as_json)

    @_command
    def jobs(self) -> None:
        """List the jobs that the entries plan."""
        views.show_jobs(self._connect(), as_json=self._as_json)

    @_command
    def cancel(self, subject: str) -> None:
        """Cancel a job's tasks that have not ended, or one task (JOB:N)."""
        area = 'tasks' if ':' in subject else 'jobs'
        accepted = unwrap_or_exit(self._connect().cancel(f'{area}/{subject}'))
        self._write(accepted, f'{subject}: cancellation accepted')

    @_command
    def status(self, what: str = 'fleet') -> None:
        """Show the fleet, or WHAT: teams, jobs, keepers or versions."""
        show = views.VIEW_BY_NAME.get(what)
        if show is None:
            choices = ', '.join(views.VIEW_BY_NAME)
            exit_with(usage_failure(f'status {what}: unknown, use {choices}'))
        show(self._connect(), as_json=self._as_json)

    @_command
    def explain(
        self,
        kind: str,
        *subjects: str,
        job: str = '',
        task: str = '',
    ) -> None:
        """Explain what was decided about a request, task or job, and why.

        KIND is request, task or job, and one SUBJECT its id. A request's id
        is in the answer's Hyssopring-Request-Id header. All entries are
        asked; each keeps what is recent.

        Or KIND is logs, SUBJECTS are files of JSON lines that processes
        wrote, and --job=ID or --task=NAME tells what to look for. No entry
        is asked. A sentence a line, in order of time, then the likely cause.
        """
        if kind == 'logs':
            explain_logs(subjects, job, task)
            return
        if kind not in {'request', 'task', 'job'}:
            choices = 'request, task or job, or logs'
            exit_with(usage_failure(f'explain {kind}: unknown, use {choices}'))
        if len(subjects) != 1 or job or task:
            exit_with(
                usage_failure(f'explain {kind}: takes one id, and neither flag')
            )
        views.show_decisions(
            self._connect(),
            f'{kind}/{subjects[0]}',
            as_json=self._as_json,
        )

    @_command
    def report(
        self,
        *files: str,
        html: str = '',
        window_s: float = 2,
        late_share: float = 0.15,
    ) -> None:
        """Report what jobs lost, and why, from FILES of JSON lines.

        No entry is asked. Tables by queue, by cause and by the window in
        which jobs were accepted; --html=FILE writes a page with plots as
        well. --window-s is the length of a window, --late-share what a late
        job is worth of one in time.
        """
        report_losses(files, html, window_s, late_share)

    @_command
    def drain(
        self,
        agent: str,
        *,
        why: str = '',
        keepers: bool = False,
        wait: bool = False,
    ) -> None:
        """Give an AGENT's VM nothing new, and move its batch tasks.

        Requests in flight finish. Keepers stay unless --keepers is given.
        """
        document = json.dumps({'why': why, 'keepers': keepers})
        self._put_item(f'drain/{agent}', document, 0, wait)

    @_command
    def undrain(self, agent: str, *, wait: bool = False) -> None:
        """Let a drained AGENT's VM take work again."""
        client = self._connect()
        key = f'drain/{agent}'
        page = unwrap_or_exit(client.get(f'configuration/{key}'))
        version = views.item_version(page, key)
        if not version:
            line = f'{agent} is not drained'
            exit_with(CommandFailure(ExitCode.REFUSED, line))
        self._report_accepted(client, client.delete(key, version), wait)

    def _put_item(
        self, key: str, document: str, version: int, wait: bool
    ) -> None:
        client = self._connect()
        self._report_accepted(client, client.put(key, document, version), wait)

    def _report_accepted(
        self,
        client: OperatorClient,
        call_result: views.CallResult,
        wait: bool,
    ) -> None:
        accepted = unwrap_or_exit(call_result)
        version = accepted['version']
        self._write(accepted, f'accepted as version {version}')
        if wait:
            line = unwrap_or_exit(wait_until_in_force(client, version))
            if not self._as_json:
                write_line(line)

    def _write(self, document: Any, line: str) -> None:
        if self._as_json:
            write_json(document)
        else:
            write_line(line)
