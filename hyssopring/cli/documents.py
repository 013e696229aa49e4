"""Reads the documents and settings of commands."""

import json
import os
import sys
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from hyssopring.cli.client import OperatorClient
from hyssopring.cli.exits import CommandFailure, ExitCode
from hyssopring.cli.output import unwrap_or_exit
from hyssopring.errors import Failure
from hyssopring.settings import (
    OperatorSettings,
    load_settings,
    parse_commented,
    read_document,
)

__all__ = (
    'load_json_text',
    'load_settings_file',
    'resolve_client',
    'usage_failure',
)

_DEFAULT_ENTRY = '127.0.0.1:7002'
_STDIN = '-'
_Model = TypeVar('_Model', bound=BaseModel)
_Success = TypeVar('_Success')


def usage_failure(line: str) -> CommandFailure:
    """Return a failure with exit code ``USAGE``."""
    return CommandFailure(ExitCode.USAGE, line)


def load_settings_file(path: str, model: type[_Model]) -> _Model:
    """Load settings; end the process if they are invalid."""
    return unwrap_or_exit(_as_usage_failure(load_settings(path, model)))


def load_json_text(path: str) -> str:
    """Read JSON with comments from a file, or from standard input (``-``).

    Returns:
        The document as JSON without comments. A document that
        cannot be read or parsed ends the process.
    """
    if path != _STDIN:
        return json.dumps(
            unwrap_or_exit(_as_usage_failure(read_document(path)))
        )
    try:
        return json.dumps(parse_commented(sys.stdin.read()))
    except (ValueError, RecursionError) as error:
        return unwrap_or_exit(
            Err(usage_failure(f'standard input: not JSON: {error}'))
        )


def resolve_client(entry: str, token: str, settings: str) -> OperatorClient:
    """Return a client for the entry that commands call.

    Flags take precedence over the environment, and both over the settings
    file. A missing or invalid token or address ends the process.

    Args:
        entry: The value of ``--entry``; empty if not given.
        token: The value of ``--token``; empty if not given.
        settings: The value of ``--settings``; empty if not given.
    """
    path = settings or os.environ.get('HYSSOPRING_SETTINGS', '')
    file_settings = load_settings_file(path, OperatorSettings) if path else None
    entry_address = entry or os.environ.get('HYSSOPRING_ENTRY', '')
    operator_token = token or os.environ.get('HYSSOPRING_TOKEN', '')
    if file_settings is not None:
        entry_address = entry_address or file_settings.entry
        operator_token = operator_token or file_settings.token
    if not operator_token:
        unwrap_or_exit(
            Err(
                usage_failure(
                    'no token: --token, HYSSOPRING_TOKEN or --settings'
                )
            )
        )
    try:
        checked = OperatorSettings(
            entry=entry_address or _DEFAULT_ENTRY,
            token=operator_token,
        )
    except ValidationError as error:
        first_error: Any = error.errors()[0]
        name = first_error['loc'][0]
        return unwrap_or_exit(
            Err(usage_failure(f'--{name}: {first_error["msg"]}'))
        )
    return OperatorClient(checked.entry, checked.token)


def _as_usage_failure(
    outcome: Result[_Success, Failure],
) -> Result[_Success, CommandFailure]:
    if outcome.is_err():
        return Err(usage_failure(outcome.unwrap_err().detail))
    return Ok(outcome.unwrap())
