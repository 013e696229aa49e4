"""Jobs of steps: what they are, who owns them, where their tasks run."""
