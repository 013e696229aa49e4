"""Start of the platform's processes without OpenSSL.

They speak plain HTTP on the machine and the inner network, and hash short
names. asyncio and hashlib would load OpenSSL nonetheless, which takes several
megabytes of memory. Both do without it if it is not installed: a module that is
None in ``sys.modules`` counts as not installed.
"""

from importlib.util import find_spec
from typing import Any, Final, MutableMapping

__all__ = ('exclude_openssl',)

_OPENSSL_MODULES: Final = ('_hashlib', 'ssl')
# The modules by which hashlib does without OpenSSL. Some builds of Python lack
# some of them.
_HASH_MODULES: Final = (
    '_blake2',
    '_md5',
    '_sha1',
    '_sha256',
    '_sha3',
    '_sha512',
)


def exclude_openssl(modules: MutableMapping[str, Any]) -> None:
    """Keep OpenSSL from being loaded; call before all other imports.

    Args:
        modules: The modules of the process, ``sys.modules``.
    """
    has_all_hashes = all(find_spec(name) is not None for name in _HASH_MODULES)
    is_loaded = any(name in modules for name in _OPENSSL_MODULES)
    if has_all_hashes and not is_loaded:
        modules.update(dict.fromkeys(_OPENSSL_MODULES))
