"""Templates, parameters and quotas, and how changes come into force."""

from hyssopring.configuration.changes import (
    AcceptedChange,
    ConfigurationChange,
    ConfigurationKeeper,
    describe_validation,
)
from hyssopring.configuration.models import JobSubmission
from hyssopring.configuration.state import ConfigurationState, ServicePolicy

__all__ = (
    'AcceptedChange',
    'ConfigurationChange',
    'ConfigurationKeeper',
    'ConfigurationState',
    'JobSubmission',
    'ServicePolicy',
    'describe_validation',
)
