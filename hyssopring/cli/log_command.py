"""The command that explains a job or task from log files."""

from typing import Sequence

from hyssopring.cli.documents import usage
from hyssopring.cli.log_lines import Subject, find_lines
from hyssopring.cli.log_story import tell_story
from hyssopring.cli.output import fail, say

__all__ = ('explain_logs',)


def explain_logs(paths: Sequence[str], job: str, task: str) -> None:
    """Write the story of a job, or of one task, from these files."""
    if not paths:
        fail(usage('explain logs: FILE is missing'))
    if bool(job) == bool(task):
        fail(usage('explain logs: use one of --job=ID and --task=NAME'))
    subject = Subject(job or task.partition('.')[0], task)
    try:
        found = find_lines(paths, subject)
    except OSError as error:
        fail(usage(f'{error.filename}: cannot be read: {error.strerror}'))
    for text in tell_story(subject, found):
        say(text)
