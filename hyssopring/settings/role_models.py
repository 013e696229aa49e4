"""The model of each role's settings file."""

from pydantic import BaseModel

from hyssopring.settings.models import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
)
from hyssopring.settings.scheduling import SchedulingSettings

__all__ = ('role_of',)

_Models = tuple[type[BaseModel], ...]
_ROLE_MODELS: _Models = (
    EntrySettings,
    AgentSettings,
    OperatorSettings,
    SchedulingSettings,
)


def role_of(document: object) -> type[BaseModel]:
    """Return the model that has most keys in common with a document."""
    keys = set(document) if isinstance(document, dict) else set()
    return max(
        _ROLE_MODELS, key=lambda model: len(keys & set(model.model_fields))
    )
