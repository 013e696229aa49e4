"""Routing decisions: which backend server gets a request."""

from hyssopring.routing.choice import Choice, choose_backend

__all__ = ('Choice', 'choose_backend')
