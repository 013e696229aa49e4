"""Print docs/SETTINGS.md: ``python -m hyssopring.settings``."""

import sys

from hyssopring.settings.reference import reference_page

sys.stdout.write(reference_page())
