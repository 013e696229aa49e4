"""One-line descriptions of validation errors."""

import json
from typing import Any, Mapping, get_args

from pydantic import BaseModel, ValidationError

__all__ = ('describe_problems',)

_SECRET_KEY_PARTS = ('secret', 'token')
_MAX_VALUE_CHARS = 60
_MAX_PROBLEMS = 3


def describe_problems(error: ValidationError, model: type[BaseModel]) -> str:
    """Return a line with the invalid keys, their values and the reasons.

    Values of secrets are omitted because the line is written to logs.

    Args:
        error: The validation error.
        model: The model that was validated.
    """
    problems = error.errors()
    descriptions = [
        _describe_problem(model, dict(problem))
        for problem in problems[:_MAX_PROBLEMS]
    ]
    if len(problems) > _MAX_PROBLEMS:
        descriptions.append(f'and {len(problems) - _MAX_PROBLEMS} more')
    return '; '.join(descriptions)


def _describe_problem(
    model: type[BaseModel], problem: Mapping[str, Any]
) -> str:
    key = '.'.join(str(part) for part in problem['loc']) or 'document'
    message = problem['msg'].removeprefix('Value error, ')
    if problem['type'] == 'value_error' and not problem['loc']:
        return message
    if problem['type'] == 'missing':
        return f'{key}: required, found nothing'
    if problem['type'] == 'extra_forbidden':
        allowed = ', '.join(_allowed_keys(model, problem['loc']))
        return f'{key}: unknown key, allowed are {allowed}'
    return f'{key}: {message}, found {_format_value(key, problem["input"])}'


def _allowed_keys(
    model: type[BaseModel],
    location: tuple[int | str, ...],
) -> tuple[str, ...]:
    for part in location[:-1]:
        field = model.model_fields.get(str(part))
        annotation = field.annotation if field else None
        # The annotation of an optional object is a union.
        for choice in (annotation, *get_args(annotation)):
            if isinstance(choice, type) and issubclass(choice, BaseModel):
                model = choice
    return tuple(model.model_fields)


def _format_value(key: str, rejected_value: object) -> str:
    if any(key_part in key for key_part in _SECRET_KEY_PARTS):
        return 'a value that is not shown'
    if isinstance(rejected_value, dict):
        return 'an object'
    text = json.dumps(rejected_value, default=str)
    return (
        text
        if len(text) <= _MAX_VALUE_CHARS
        else f'{text[:_MAX_VALUE_CHARS]}...'
    )
