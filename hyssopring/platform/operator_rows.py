"""Following of all that the operator writes to the store."""

from typing import Any, Callable

from hyssopring.jobs.entry_core import JobEntryCore
from hyssopring.jobs.queues import QueueTable
from hyssopring.jobs.rows import RowStore
from hyssopring.jobs.stored_configuration import StoredConfiguration
from hyssopring.platform.configuration import ConfigurationFollower
from hyssopring.platform.evacuations import EvacuationReader
from hyssopring.platform.settings import NodeSettings

__all__ = ('follow_operator',)


def follow_operator(
    reactor: Any,
    settings: NodeSettings,
    core: JobEntryCore,
    direct: RowStore,
    relayed: RowStore,
    on_configuration: Callable[[QueueTable, StoredConfiguration], None],
) -> ConfigurationFollower:
    """Return a follower that passes all changes to the core; not started.

    Args:
        direct: Reads the configuration. Peers do not relay it: they announce
            a newer one themselves and send it in less data than the complete
            response of a relay.
        relayed: Reads the evacuated zones.
    """
    follower = ConfigurationFollower(reactor, direct, on_configuration)
    core.configuration.on_stored = follower.apply_from_peer
    follower.on_evacuations_outdated = EvacuationReader(
        reactor, relayed, settings.zones, core.evacuations.apply_stored
    ).refresh
    return follower
