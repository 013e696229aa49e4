"""Faults from outside on the platform's real programs, drawn from a seed."""
