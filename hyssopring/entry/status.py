"""What an entry tells operators about the fleet."""

from typing import Any, Mapping

from hyssopring.entry.core import EntryCore

__all__ = ('fleet_status',)


def fleet_status(core: EntryCore) -> Mapping[str, Any]:
    """Return the fleet as this entry sees it."""
    return {
        'entry': core.identity.entry_id,
        'configuration': core.configuration.version,
        'entries': core.shards.version_by_entry,
        'shards': [held.shard for held in core.shards.held()],
        'pending': core.router.pending,
        'agents': [
            {
                'id': record.agent_id,
                'zone': record.zone,
                'rack': record.rack,
                'configuration': record.configuration_version,
                'free_cores': record.free.cores,
                'stopping': record.is_stopping,
                'backends': [
                    {
                        'id': view.report.backend_id,
                        'service': view.report.service_name,
                        'leaving': view.report.leaving,
                        'in_flight': view.report.in_flight,
                    }
                    for view in record.backend_by_id.values()
                ],
            }
            for record in core.fleet.agents
        ],
        'waiting': [
            {'task': planned.task.task_id, 'why': planned.task.why_waiting}
            for planned in core.planner.tasks()
            if planned.task.why_waiting
        ],
    }
