"""Loading of settings files: JSON with comments, validated by the models."""

import json
import pathlib
from typing import Any, Final, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from hyssopring.errors import ErrorKind, Failure
from hyssopring.problems import describe_problems

__all__ = (
    'check_document',
    'load_settings',
    'parse_commented',
    'read_document',
)

# json5 takes 1.8 s of processor time for 61,660 characters and twice that for
# 124,452, the json module 1 and 2 ms; at that rate 60 MB would take json5 half
# an hour. The longest settings file of the examples has 504 characters. The
# length of plain JSON is not limited.
_MAX_JSON5_SIZE: Final = 65_536

_Model = TypeVar('_Model', bound=BaseModel)


def load_settings(path: str, model: type[_Model]) -> Result[_Model, Failure]:
    """Read and validate one file.

    Returns:
        The settings, or a failure whose detail is one line with the file, the
        key, the value and the allowed values.
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
    """Validate the parsed content of a file, as ``load_settings`` does."""
    try:
        return Ok(model.model_validate(_with_tuples(document)))
    except ValidationError as error:
        return Err(_invalid(path, describe_problems(error, model)))


def read_document(path: str) -> Result[Any, Failure]:
    """Read one file of JSON with comments, without validating its keys."""
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
    """Parse JSON with comments; plain JSON takes the faster parser.

    Raises:
        ValueError: The text is malformed, an object has a duplicate key, or
            the text is not plain JSON and too long for the slower parser.
    """
    try:
        return json.loads(text, object_pairs_hook=_object_of)
    except ValueError as error:
        if len(text) > _MAX_JSON5_SIZE:
            raise ValueError(
                f'{error}; with comments at most {_MAX_JSON5_SIZE} characters '
                + f'are read, found {len(text)}',
            ) from error
    # Plain JSON does not need the memory of this parser.
    import json5  # noqa: PLC0415, WPS433

    return json5.loads(text, allow_duplicate_keys=False)


def _object_of(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        raise ValueError('an object names a key twice')
    return members


def _with_tuples(document: object) -> object:
    """Convert JSON lists to tuples, which the strict models require."""
    if isinstance(document, list):
        return tuple(_with_tuples(element) for element in document)
    if isinstance(document, dict):
        return {key: _with_tuples(member) for key, member in document.items()}
    return document


def _invalid(path: str, detail: str) -> Failure:
    line = ' '.join(f'{path}: {detail}'.split())
    return Failure(ErrorKind.INVALID, line)
