"""The agent process: one per VM, between entries and the local processes."""
