"""The command that explains a job or task from log files."""

from typing import Sequence

from hyssopring.cli.documents import usage_failure
from hyssopring.cli.log_lines import Subject, find_lines
from hyssopring.cli.log_timeline import build_timeline
from hyssopring.cli.output import exit_with, write_line

__all__ = ('explain_logs',)


def explain_logs(paths: Sequence[str], job: str, task: str) -> None:
    """Write the timeline of a job, or of one task, from log files.

    Args:
        paths: The log files.
        job: The id of the job; empty if ``task`` is given.
        task: The name of the task; empty if ``job`` is given.
    """
    if not paths:
        exit_with(usage_failure('explain logs: FILE is missing'))
    if bool(job) == bool(task):
        exit_with(
            usage_failure('explain logs: use one of --job=ID and --task=NAME')
        )
    subject = Subject(job or task.partition('.')[0], task)
    try:
        found = find_lines(paths, subject)
    except OSError as error:
        exit_with(
            usage_failure(f'{error.filename}: cannot be read: {error.strerror}')
        )
    for text in build_timeline(subject, found):
        write_line(text)
