"""Reads the documents and settings that commands are given."""

import json
import os
import sys
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from hyssopring.cli.client import OperatorClient
from hyssopring.cli.exits import CommandFailure, ExitCode
from hyssopring.cli.output import good
from hyssopring.errors import Failure
from hyssopring.settings import (
    OperatorSettings,
    load_settings,
    parse_commented,
    read_document,
)

__all__ = ('client_of', 'document_of', 'settings_of', 'usage')

_DEFAULT_ENTRY = '127.0.0.1:7002'
_STDIN = '-'
_Model = TypeVar('_Model', bound=BaseModel)
_Kept = TypeVar('_Kept')


def usage(line: str) -> CommandFailure:
    """Return a failure of the command line's own."""
    return CommandFailure(ExitCode.USAGE, line)


def settings_of(path: str, model: type[_Model]) -> _Model:
    """Load settings, or end the process with one line."""
    return good(_as_usage(load_settings(path, model)))


def document_of(path: str) -> str:
    """Read JSON with comments from a file, or from standard input (-)."""
    if path != _STDIN:
        return json.dumps(good(_as_usage(read_document(path))))
    try:
        return json.dumps(parse_commented(sys.stdin.read()))
    except (ValueError, RecursionError) as error:
        return good(Err(usage(f'standard input: not JSON: {error}')))


def client_of(entry: str, token: str, settings: str) -> OperatorClient:
    """Find where to connect: flags first, then environment, then the file."""
    path = settings or os.environ.get('HYSSOPRING_SETTINGS', '')
    filed = settings_of(path, OperatorSettings) if path else None
    given_entry = entry or os.environ.get('HYSSOPRING_ENTRY', '')
    given_token = token or os.environ.get('HYSSOPRING_TOKEN', '')
    if filed is not None:
        given_entry = given_entry or filed.entry
        given_token = given_token or filed.token
    if not given_token:
        good(Err(usage('no token: --token, HYSSOPRING_TOKEN or --settings')))
    try:
        checked = OperatorSettings(
            entry=given_entry or _DEFAULT_ENTRY,
            token=given_token,
        )
    except ValidationError as error:
        problem: Any = error.errors()[0]
        name = problem['loc'][0]
        return good(Err(usage(f'--{name}: {problem["msg"]}')))
    return OperatorClient(checked.entry, checked.token)


def _as_usage(
    outcome: Result[_Kept, Failure],
) -> Result[_Kept, CommandFailure]:
    if outcome.is_err():
        return Err(usage(outcome.unwrap_err().detail))
    return Ok(outcome.unwrap())
