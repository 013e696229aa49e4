"""Settings of the daemons."""

from hyssopring.settings.loading import load_settings
from hyssopring.settings.models import AgentSettings, EntrySettings

__all__ = ('AgentSettings', 'EntrySettings', 'load_settings')
