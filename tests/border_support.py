"""What another writer might leave: odd values, and a store that has them."""

# Strings that a JSON reader takes for numbers, and values at types' ends.
ODD_VALUES = (
    None, '', 'x', '1', -1, 0, 10**30, 1.5, 1e308, float('nan'),
    float('inf'), True, [], {}, [[]], '\x00',
)  # fmt: skip


def mutated(rng, value):
    """Change one place of a JSON value."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        key = rng.choice(sorted(value))
        changed = dict(value)
        if rng.random() < 0.2:
            changed.pop(key)
        else:
            changed[key] = mutated(rng, value[key])
        return changed
    if isinstance(value, list) and value and rng.random() < 0.8:
        place = rng.randrange(len(value))
        changed = mutated(rng, value[place])
        return [*value[:place], changed, *value[place + 1 :]]
    return rng.choice(ODD_VALUES)


class Rows:
    """A store whose next answers are given."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def read(self, *_asked):
        return self.answers.pop(0)

    changes = read
