"""Scheduling of jobs: model, ownership of shards, placement of tasks."""
