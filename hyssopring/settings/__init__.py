"""Settings of the daemons and of the operators' command line."""

from hyssopring.settings.loading import load_settings, read_document, role_of
from hyssopring.settings.models import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
)

__all__ = (
    'AgentSettings',
    'EntrySettings',
    'OperatorSettings',
    'load_settings',
    'read_document',
    'role_of',
)
