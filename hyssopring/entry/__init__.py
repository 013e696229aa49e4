"""The entry process: routes requests, accepts jobs and plans its shards."""
