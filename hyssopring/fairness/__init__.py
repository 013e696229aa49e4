"""Fair shares of capacity for groups of jobs while tasks wait for a worker."""

from hyssopring.fairness.fair_shares import FairShares
from hyssopring.fairness.groups import Group, GroupUse
from hyssopring.fairness.shares import (
    Claim,
    bands,
    water_fill,
    without_size_class,
)
from hyssopring.fairness.size_classes import RecentWork, SizeClass

__all__ = (
    'Claim',
    'FairShares',
    'Group',
    'GroupUse',
    'RecentWork',
    'SizeClass',
    'bands',
    'water_fill',
    'without_size_class',
)
