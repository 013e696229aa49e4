"""Moves of running keepers to workers that serve them better."""

from hyssopring.rebalancing.rebalancer import Rebalancer

__all__ = ('Rebalancer',)
