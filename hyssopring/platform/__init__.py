"""The platform that hyssopring runs on: translation, and nothing else.

Only this package knows the platform's names. It turns them into the types of
``hyssopring.jobs`` and back; decisions and state are there.
"""
