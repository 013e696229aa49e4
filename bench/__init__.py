"""Measurements; none of this is shipped."""
