"""Seeded soak runs of the real programs with external faults."""
