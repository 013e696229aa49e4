"""Runs a role on the platform: ``python -m hyssopring.platform entry``."""

import gc
import sys

if __name__ == '__main__':
    # Nearly all that imports make stays, and the collector looks through it
    # again and again: a seventh of a start's processor time (bench.startup).
    # It is turned on once the role has started.
    gc.disable()

    from hyssopring.platform.roles import main

    main(sys.argv[1:])
