"""Admission of jobs while tasks wait for capacity.

The names are imported from the modules. ``hyssopring.jobs.messages`` imports
the messages of this package, and re-exports here would import it in turn.
"""
