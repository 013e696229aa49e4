"""The agent: one per VM, between the entries and what runs on the VM."""
