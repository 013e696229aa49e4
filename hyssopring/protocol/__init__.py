"""The inner protocol between entries and agents.

Its messages are in ``protocol.messages`` and ``jobs.messages``. Nothing is
imported here: the codec of the generated messages takes a quarter of the
start-up of a process that needs only the structs.
"""
