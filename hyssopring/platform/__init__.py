"""Adapters between the users' platform and ``hyssopring.jobs``.

Only this package uses the platform's names. It translates them into the types
of ``hyssopring.jobs`` and back; all decisions and state are in that package.
"""
