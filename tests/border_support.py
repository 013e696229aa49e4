"""Malformed values of other writers, and a store that returns them."""

# Strings that a lax JSON reader takes for numbers, and values at the limits
# of their types.
UNEXPECTED_VALUES = (
    None, '', 'x', '1', -1, 0, 10**30, 1.5, 1e308, float('nan'),
    float('inf'), True, [], {}, [[]], '\x00',
)  # fmt: skip

# Numbers that no message, timer or sum of times can hold.
LARGE_NUMBERS = (
    10**30, -(10**30), 10**400, 1e308, float('nan'), float('inf'),
)  # fmt: skip
# Beyond the depth that a JSON parser follows.
DEEP = '[' * 5000 + ']' * 5000


def short(odd):
    """Return the name of a test's parameter."""
    return str(odd)[:12]


def mutated(rng, value):
    """Return a JSON value with one random change."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        key = rng.choice(sorted(value))
        changed = dict(value)
        if rng.random() < 0.2:
            changed.pop(key)
        else:
            changed[key] = mutated(rng, value[key])
        return changed
    if isinstance(value, list) and value and rng.random() < 0.8:
        index = rng.randrange(len(value))
        changed = mutated(rng, value[index])
        return [*value[:index], changed, *value[index + 1 :]]
    return rng.choice(UNEXPECTED_VALUES)


class PreparedStore:
    """A store that returns the given responses, in order."""

    def __init__(self, *responses):
        self.responses = list(responses)

    def read(self, *_asked):
        return self.responses.pop(0)

    changes = read
