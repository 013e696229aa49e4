"""Settings of the daemons and of the operators' command line.

The models of the command line's roles are imported on first use. The platform's
processes load other settings and do not need their memory.
"""

import importlib
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from hyssopring.settings.loading import (
    check_document,
    load_settings,
    parse_commented,
    read_document,
)
from hyssopring.settings.scheduling import SchedulingSettings

if TYPE_CHECKING:
    from hyssopring.settings.models import (
        AgentSettings,
        EntrySettings,
        OperatorSettings,
    )
    from hyssopring.settings.role_models import role_of

__all__ = (
    'AgentSettings',
    'EntrySettings',
    'OperatorSettings',
    'SchedulingSettings',
    'check_document',
    'load_settings',
    'parse_commented',
    'read_document',
    'role_of',
)

_MODULE_BY_NAME: Final = MappingProxyType(
    {
        'AgentSettings': 'hyssopring.settings.models',
        'EntrySettings': 'hyssopring.settings.models',
        'OperatorSettings': 'hyssopring.settings.models',
        'role_of': 'hyssopring.settings.role_models',
    }
)


def __getattr__(name: str) -> Any:  # noqa: WPS413 -- see the module's text
    if name not in _MODULE_BY_NAME:
        raise AttributeError(name)
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
