"""Templates, parameters, quotas and drains, and changes to them."""

from hyssopring.configuration.batch import (
    AcceptedChange,
    ConfigurationChange,
)
from hyssopring.configuration.changes import ConfigurationManager
from hyssopring.configuration.models import DrainModel, JobSubmission
from hyssopring.configuration.state import ConfigurationState, ServicePolicy
from hyssopring.configuration.validation import parse_document

__all__ = (
    'AcceptedChange',
    'ConfigurationChange',
    'ConfigurationManager',
    'ConfigurationState',
    'DrainModel',
    'JobSubmission',
    'ServicePolicy',
    'parse_document',
)
