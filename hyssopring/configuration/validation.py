"""Validates the keys and documents that operators submit."""

import re
from typing import Final, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from hyssopring.configuration.models import MODEL_BY_KIND
from hyssopring.errors import ErrorKind, Failure
from hyssopring.problems import describe_problems

__all__ = ('document_failure', 'parse_document')

_Model = TypeVar('_Model', bound=BaseModel)
# Covers agent ids (drain/<agent>), which allow more than other names.
_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')


def document_failure(key: str, document: str) -> Failure | None:
    """Return the failure for an invalid key or document, or None."""
    kind, _, name_path = key.partition('/')
    model = MODEL_BY_KIND.get(kind)
    names = name_path.split('/')
    name_count = 2 if kind == 'parameters' else 1
    if model is None or len(names) != name_count:
        return Failure(ErrorKind.INVALID, f'no such kind of item: {key}')
    if not all(_NAME.fullmatch(name) for name in names):
        return Failure(ErrorKind.INVALID, f'not a name: {key}')
    if not document:
        return None
    return parse_document(document, model).err()


def parse_document(
    text: str | bytes,
    model: type[_Model],
) -> Result[_Model, Failure]:
    """Parse JSON into a model.

    Returns:
        The document, or a failure with the invalid keys in one line.
    """
    try:
        return Ok(model.model_validate_json(text))
    except ValidationError as error:
        detail = describe_problems(error, model)
        return Err(Failure(ErrorKind.INVALID, detail))
