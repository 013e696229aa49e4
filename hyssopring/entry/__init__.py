"""The entry: takes requests and jobs, and plans the shards that it holds."""
