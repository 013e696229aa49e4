"""Reads settings files: JSON with comments, checked by the models."""

import pathlib
from typing import Any, TypeVar

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

__all__ = ('load_settings', 'read_document', 'role_of')

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
    try:
        return Ok(model.model_validate(_tupled(document.unwrap())))
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
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as error:
        return Err(_invalid(path, f'is not JSON with comments: {error}'))


def role_of(document: object) -> type[BaseModel]:
    """Return the role's model that shares most keys with a document."""
    keys = set(document) if isinstance(document, dict) else set()
    return max(_ROLES, key=lambda model: len(keys & set(model.model_fields)))


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
