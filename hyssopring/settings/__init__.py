"""Settings of the daemons and of the operators' command line."""

from hyssopring.settings.loading import (
    check_document,
    load_settings,
    parse_commented,
    read_document,
    role_of,
)
from hyssopring.settings.models import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
)
from hyssopring.settings.scheduling import SchedulingSettings

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
