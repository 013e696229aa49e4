"""Reads settings files: JSON with comments, checked by the models."""

import pathlib
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from hyssopring.configuration import describe_validation
from hyssopring.errors import ErrorKind, Failure

__all__ = ('load_settings',)

_Model = TypeVar('_Model', bound=BaseModel)


def load_settings(path: str, model: type[_Model]) -> Result[_Model, Failure]:
    """Read and check one file.

    Returns:
        The settings, or a failure whose detail is one line that names the
        file, the key, what was found and what is allowed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return _invalid(path, f'cannot be read: {error}')
    try:
        document = json5.loads(text)
    except ValueError as error:
        return _invalid(path, f'is not JSON with comments: {error}')
    try:
        return Ok(model.model_validate(_tupled(document)))
    except ValidationError as error:
        return _invalid(path, describe_validation(error))


def _tupled(document: object) -> object:
    """Turn JSON lists into tuples, which the strict models ask for."""
    if isinstance(document, list):
        return tuple(_tupled(element) for element in document)
    if isinstance(document, dict):
        return {key: _tupled(member) for key, member in document.items()}
    return document


def _invalid(path: str, detail: str) -> Result[_Model, Failure]:
    line = f'{path}: {detail}'.replace('\n', ' ')
    return Err(Failure(ErrorKind.INVALID, line))
