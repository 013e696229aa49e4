"""The inner protocol between entries and agents.

Its messages are in ``protocol.messages`` and ``jobs.messages``. Nothing is
imported here: importing the codec of the generated messages takes 0.16 s, and
the entry of the users' platform, which needs only the structs, 0.59 s in all.
"""
