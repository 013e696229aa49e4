"""Checks the documents that operators submit."""

import json

from pydantic import ValidationError

from hyssopring.configuration.models import MODEL_BY_KIND
from hyssopring.errors import ErrorKind, Failure

__all__ = ('describe_validation', 'document_failure')


def document_failure(key: str, document: str) -> Failure | None:
    """Say what is wrong with an item's key or document."""
    kind, _, rest = key.partition('/')
    model = MODEL_BY_KIND.get(kind)
    depth = 2 if kind == 'parameters' else 1
    if model is None or len(rest.split('/')) != depth:
        return Failure(ErrorKind.INVALID, f'no such kind of item: {key}')
    if not document:
        return None
    try:
        model.model_validate_json(document)
    except ValidationError as error:
        return Failure(ErrorKind.INVALID, describe_validation(error))
    return None


def describe_validation(error: ValidationError) -> str:
    """Return one line that names each wrong key and what is allowed."""
    return '; '.join(
        '{0}: {1}, found {2}'.format(
            '.'.join(str(part) for part in problem['loc']) or 'document',
            problem['msg'],
            json.dumps(problem['input'], default=str),
        )
        for problem in error.errors()
    )
