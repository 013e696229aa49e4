"""Generation of docs/SETTINGS.md from the settings models."""

from typing import Any, Iterator, Mapping

from pydantic import BaseModel

from hyssopring.settings.models import (
    AgentSettings,
    CapacitySettings,
    EntrySettings,
    OperatorSettings,
)
from hyssopring.settings.scheduling import (
    FairnessSettings,
    LearningSettings,
    RebalancingSettings,
    StragglerSettings,
)

__all__ = ('reference_page',)

_INTRODUCTION = """# Settings

Made from the models by `python -m hyssopring.settings > docs/SETTINGS.md`; a
test keeps it true. Files are JSON with comments, those of more than 65,536
characters plain JSON. Keys that end in `_ms` are milliseconds, plain numbers
without a unit. An unknown key, a wrong value or a missing file is one line on
standard error and exit code 2; `hyssopring check FILE` does only that check.
Values of secrets are never shown in such a line. Examples:
`examples/nyabugogo/`, `examples/hemeroteca/`.
"""
_REQUIRED = 'required'
_SECTIONS = (
    ('Entry (`hyssopring entry FILE`)', EntrySettings),
    ('Agent (`hyssopring agent FILE`)', AgentSettings),
    ('`capacity` of an agent', CapacitySettings),
    ('Operator (`--settings FILE` of the commands)', OperatorSettings),
    ('`learning` of `deploy/scheduling.json`', LearningSettings),
    ('`fairness` of `deploy/scheduling.json`', FairnessSettings),
    ('`stragglers` of `deploy/scheduling.json`', StragglerSettings),
    ('`rebalancing` of `deploy/scheduling.json`', RebalancingSettings),
)
_TEMPLATE_BY_LIMIT = (
    ('minimum', 'at least {0}'),
    ('exclusiveMinimum', 'more than {0}'),
    ('maximum', 'at most {0}'),
    ('minLength', 'at least {0} characters'),
    ('minItems', 'at least {0}'),
)


def reference_page() -> str:
    """Return the text of the page."""
    parts = [_INTRODUCTION]
    for title, model in _SECTIONS:
        parts.append(f'\n## {title}\n\n')
        parts.append('| key | type | allowed | default | meaning |\n')
        parts.append('|---|---|---|---|---|\n')
        parts.extend(_rows(model))
    parts.append(_combined_rules())
    return ''.join(parts)


def _rows(model: type[BaseModel]) -> Iterator[str]:
    schema = model.model_json_schema()
    required = frozenset(schema.get(_REQUIRED, ()))
    for key, field in schema['properties'].items():
        default = field.get('default')
        cells = (
            f'`{key}`',
            field.get('type', 'object'),
            _allowed_values(field),
            _REQUIRED if key in required else f'`{default}`',
            field.get('description', ''),
        )
        yield f'| {" | ".join(cells)} |\n'


def _allowed_values(field: Mapping[str, Any]) -> str:
    choices = field.get('enum')
    if choices:
        return ', '.join(f'`{choice}`' for choice in choices)
    limits = [
        template.format(field[limit])
        for limit, template in _TEMPLATE_BY_LIMIT
        if limit in field
    ]
    return ', '.join(limits)


def _combined_rules() -> str:
    return (
        '\nNames start with a letter or digit; then letters, digits, `.`, `_`\n'
        'and `-`, 63 at most. Addresses are `host:port`, an IPv6 host in\n'
        'brackets. URLs start with `http://`.\n'
        '\nTogether: `shard_takeover_ms` is longer than `shard_lease_ms`;\n'
        '`keeper_lease_ms` is not shorter than `batch_lease_ms`;\n'
        '`max_buffered_bytes` is at least twice `max_body_bytes`; the three\n'
        'addresses of an entry differ; a port is 0 to 65535, and not 0 where\n'
        'others dial it. All entries of a deployment use the same `shards`,\n'
        '`inner_secret` and lease times.\n'
        '\nThe objects of `deploy/scheduling.json` turn on optional parts of\n'
        "scheduling on the users' platform; a part without one is off.\n"
    )
