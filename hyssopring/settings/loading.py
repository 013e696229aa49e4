"""Reads settings files: JSON with comments, checked by the models."""

import json
import pathlib
from typing import Any, Final, TypeVar

import json5
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from hyssopring.errors import ErrorKind, Failure
from hyssopring.problems import describe_problems
from hyssopring.settings.models import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
)

__all__ = (
    'check_document',
    'load_settings',
    'parse_commented',
    'read_document',
    'role_of',
)

# The reader of JSON with comments took 1.8 s of processor time for 61,660
# characters and twice that for 124,452, where the language's own took 1 and
# 2 ms: 60 MB would take half an hour at that rate. The longest settings of
# the examples have 504. Plain JSON of any length is read.
_MAX_COMMENTED: Final = 65_536

_Model = TypeVar('_Model', bound=BaseModel)
_Roles = tuple[type[BaseModel], ...]
_ROLES: _Roles = (EntrySettings, AgentSettings, OperatorSettings)


def load_settings(path: str, model: type[_Model]) -> Result[_Model, Failure]:
    """Read and check one file.

    Returns:
        The settings, or a failure whose detail is one line that names the
        file, the key, what was found and what is allowed.
    """
    document = read_document(path)
    if document.is_err():
        return Err(document.unwrap_err())
    return check_document(path, document.unwrap(), model)


def check_document(
    path: str,
    document: object,
    model: type[_Model],
) -> Result[_Model, Failure]:
    """Check what was read from a file, as ``load_settings`` does."""
    try:
        return Ok(model.model_validate(_tupled(document)))
    except ValidationError as error:
        return Err(_invalid(path, describe_problems(error, model)))


def read_document(path: str) -> Result[Any, Failure]:
    """Read one file of JSON with comments, without checking its keys."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Err(_invalid(path, f'cannot be read: {error.strerror}'))
    except UnicodeDecodeError:
        return Err(_invalid(path, 'is not UTF-8 text'))
    try:
        return Ok(parse_commented(text))
    except (ValueError, RecursionError) as error:
        return Err(_invalid(path, f'is not JSON with comments: {error}'))


def parse_commented(text: str) -> Any:
    """Parse JSON with comments, quickly if it has none.

    Raises:
        ValueError: It is neither, names a key twice, or is too long to be
            read with comments.
    """
    try:
        return json.loads(text, object_pairs_hook=_unique)
    except ValueError as error:
        if len(text) > _MAX_COMMENTED:
            raise ValueError(
                f'{error}; with comments at most {_MAX_COMMENTED} characters '
                + f'are read, found {len(text)}',
            ) from error
    return json5.loads(text, allow_duplicate_keys=False)


def role_of(document: object) -> type[BaseModel]:
    """Return the role's model that shares most keys with a document."""
    keys = set(document) if isinstance(document, dict) else set()
    return max(_ROLES, key=lambda model: len(keys & set(model.model_fields)))


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        raise ValueError('an object names a key twice')
    return members


def _tupled(document: object) -> object:
    """Turn JSON lists into tuples, which the strict models ask for."""
    if isinstance(document, list):
        return tuple(_tupled(element) for element in document)
    if isinstance(document, dict):
        return {key: _tupled(member) for key, member in document.items()}
    return document


def _invalid(path: str, detail: str) -> Failure:
    line = ' '.join(f'{path}: {detail}'.split())
    return Failure(ErrorKind.INVALID, line)
