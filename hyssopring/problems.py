"""Words for what is wrong with a document or settings, always one line."""

import json
from typing import Any, Mapping, get_args

from pydantic import BaseModel, ValidationError

__all__ = ('describe_problems',)

_HIDDEN = ('secret', 'token')
_MAX_SHOWN = 60
_MAX_PROBLEMS = 3


def describe_problems(error: ValidationError, model: type[BaseModel]) -> str:
    """Name each wrong key, what was found and what is allowed.

    The values of secrets are never shown: such lines end up in logs.
    """
    problems = error.errors()
    words = [_problem(model, dict(each)) for each in problems[:_MAX_PROBLEMS]]
    if len(problems) > _MAX_PROBLEMS:
        words.append(f'and {len(problems) - _MAX_PROBLEMS} more')
    return '; '.join(words)


def _problem(model: type[BaseModel], problem: Mapping[str, Any]) -> str:
    key = '.'.join(str(part) for part in problem['loc']) or 'document'
    message = problem['msg'].removeprefix('Value error, ')
    if problem['type'] == 'value_error' and not problem['loc']:
        return message
    if problem['type'] == 'missing':
        return f'{key}: required, found nothing'
    if problem['type'] == 'extra_forbidden':
        allowed = ', '.join(_keys_beside(model, problem['loc']))
        return f'{key}: unknown key, allowed are {allowed}'
    return f'{key}: {message}, found {_shown(key, problem["input"])}'


def _keys_beside(
    model: type[BaseModel],
    location: tuple[int | str, ...],
) -> tuple[str, ...]:
    for part in location[:-1]:
        field = model.model_fields.get(str(part))
        annotation = field.annotation if field else None
        # An optional object's type is a union.
        for choice in (annotation, *get_args(annotation)):
            if isinstance(choice, type) and issubclass(choice, BaseModel):
                model = choice
    return tuple(model.model_fields)


def _shown(key: str, found: object) -> str:
    if any(word in key for word in _HIDDEN):
        return 'a value that is not shown'
    if isinstance(found, dict):
        return 'an object'
    text = json.dumps(found, default=str)
    return text if len(text) <= _MAX_SHOWN else f'{text[:_MAX_SHOWN]}...'
