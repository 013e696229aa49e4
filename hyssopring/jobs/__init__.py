"""Scheduling of jobs: model, ownership of shards, placement of tasks.

This package serves the users' platform (``platform/``); a shard's entry is its
*owner* here. The product's own interface (``entry/``, ``agent/``, ``leases/``,
``placement/``) is a second stack, where a shard's entry is its *holder*.
Neither stack imports the other.
"""
