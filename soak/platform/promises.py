"""Promises whose violations a run may count without ending."""

COMPLETED_STAYS = 'completed-stays'
COUNTABLE_PROMISES = (COMPLETED_STAYS,)
