"""The internal protocol between entries and agents.

Its messages are in ``protocol.messages`` and ``jobs.messages``. This module
imports nothing, to keep start-up short: the codec of the generated messages
takes 0.16 s to import. The entry of the users' platform, which needs only the
structs, takes 0.59 s in all.
"""
