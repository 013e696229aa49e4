"""Run a role on the platform: ``python -m hyssopring.platform entry``."""

import gc
import sys

if __name__ == '__main__':
    # Nearly all objects that imports create are permanent, and scanning them
    # repeatedly takes a seventh of the processor time of a start
    # (bench.startup). The collector is enabled once the role has started.
    gc.disable()

    from hyssopring.platform.openssl import exclude_openssl

    exclude_openssl(sys.modules)

    from hyssopring.platform.roles import main

    main(sys.argv[1:])
