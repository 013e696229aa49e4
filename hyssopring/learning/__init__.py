"""State that owners learn from running tasks, and its stored summary."""
