"""Crowds of clients that do not stay inside the limits."""
