"""The configuration state of one process.

Versions only increase: an update that is older, or that skips changes, is
rejected, so a process can lag behind but never revert. The state at a version
is the same in every process, regardless of its source.

A withdrawn item is kept as a tombstone (an empty document), so that a peer
that lags behind receives the withdrawal. Old tombstones are dropped; a peer at
a version before the newest dropped one receives the complete state, which
replaces its own.
"""

from dataclasses import dataclass
from typing import Final

from pydantic import ValidationError

from hyssopring.configuration.models import (
    DrainModel,
    ParametersModel,
    SizeModel,
    TeamModel,
    TemplateModel,
)
from hyssopring.protocol.messages import (
    ConfigurationItem,
    ConfigurationUpdate,
    Resources,
)

_MAX_TOMBSTONES: Final = 256

__all__ = (
    'ConfigurationState',
    'ServicePolicy',
    'drain_key',
    'parameters_key',
    'team_key',
    'template_key',
)


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A template of any kind merged with the parameters of one team.

    Attributes:
        service_name: ``team/template``, also for batch tasks and keepers.
        kind: ``service``, ``batch`` or ``keeper``.
        size: Resources of one task or one backend server.
        keepers: Desired number of running keepers.
    """

    service_name: str
    team: str
    kind: str
    idempotent: bool
    urgency: int
    deadline_ms: float
    run_ms: float
    zones: tuple[str, ...]
    size: Resources
    max_attempts: int
    keepers: int


def template_key(name: str) -> str:
    """Return the configuration key of a template."""
    return f'template/{name}'


def parameters_key(team: str, template: str) -> str:
    """Return the configuration key of a team's parameters."""
    return f'parameters/{team}/{template}'


def drain_key(agent_id: str) -> str:
    """Return the configuration key of the drain of an agent's VM."""
    return f'drain/{agent_id}'


def team_key(team: str) -> str:
    """Return the configuration key of a team's quotas."""
    return f'team/{team}'


class ConfigurationState:
    """All configuration items at one version."""

    def __init__(self) -> None:
        """Initialize an empty state at version 0."""
        self._version = 0
        self._min_delta_base = 0
        self._is_initialized = False
        self._item_by_key: dict[str, ConfigurationItem] = {}
        self._policy_by_service: dict[str, ServicePolicy | None] = {}
        self._policies: tuple[ServicePolicy, ...] | None = None
        self._team_by_name: dict[str, TeamModel] = {}

    @property
    def version(self) -> int:
        """The current version."""
        return self._version

    @property
    def is_known(self) -> bool:
        """Whether the state was received from the table or a peer.

        A new process starts without a configuration; that it is empty is
        known only after a response of the table. Before that, a missing
        service must not be reported as unknown.
        """
        return self._is_initialized

    @property
    def items(self) -> tuple[ConfigurationItem, ...]:
        """All items in key order, with tombstones."""
        return tuple(
            self._item_by_key[key] for key in sorted(self._item_by_key)
        )

    @property
    def tombstones(self) -> tuple[ConfigurationItem, ...]:
        """Withdrawn items, oldest first."""
        withdrawn = [
            item for item in self._item_by_key.values() if not item.document
        ]
        return tuple(sorted(withdrawn, key=lambda item: item.version))

    def item(self, key: str) -> ConfigurationItem | None:
        """Return an item, None if it is missing or withdrawn."""
        item = self._item_by_key.get(key)
        return item if item is not None and item.document else None

    def item_version(self, key: str) -> int:
        """Return the version of an item, 0 if missing or withdrawn."""
        item = self.item(key)
        return 0 if item is None else item.version

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Apply an update.

        An update with base 0 is the complete state and replaces this one. The
        base of any other update must not exceed the current version, or
        changes would be skipped. Items that are not newer than the local ones
        are ignored.

        Returns:
            Whether the update was applied: it is newer and skips no change.
        """
        is_newer = update.version > self._version
        if not is_newer or update.base_version > self._version:
            return False
        if update.base_version == 0:
            self._item_by_key.clear()
            self._policy_by_service.clear()
            self._min_delta_base = update.version
        self._keep_newest(update.items)
        self._version = update.version
        self._is_initialized = True
        self._compact()
        self._invalidate(update.items)
        return True

    def mark_current(self) -> None:
        """Record that the table holds no newer version."""
        self._is_initialized = True

    def update_since(self, version: int) -> ConfigurationUpdate:
        """Return the update for a peer at ``version``."""
        if version < self._min_delta_base:
            return ConfigurationUpdate(0, self._version, self.items)
        items = tuple(item for item in self.items if item.version > version)
        return ConfigurationUpdate(version, self._version, items)

    def policy(self, service_name: str) -> ServicePolicy | None:
        """Return the policy of a service, None if it is not configured."""
        if service_name not in self._policy_by_service:
            resolved = self._resolve(service_name)
            self._policy_by_service[service_name] = resolved
        return self._policy_by_service[service_name]

    def policies(self) -> tuple[ServicePolicy, ...]:
        """Return the policies of all services, in key order."""
        if self._policies is None:
            services = (
                key.partition('/')[2]
                for key in sorted(self._item_by_key)
                if key.startswith('parameters/')
            )
            policies = [self.policy(service_name) for service_name in services]
            self._policies = tuple(
                policy for policy in policies if policy is not None
            )
        return self._policies

    def team(self, team: str) -> TeamModel:
        """Return the quotas of a team, or the defaults."""
        if team not in self._team_by_name:
            item = self.item(team_key(team))
            self._team_by_name[team] = (
                TeamModel()
                if item is None
                else TeamModel.model_validate_json(item.document)
            )
        return self._team_by_name[team]

    def _invalidate(self, items: tuple[ConfigurationItem, ...]) -> None:
        """Remove cached values that depend on the changed items."""
        self._policies = None
        self._team_by_name.clear()
        changed_keys = {item.key for item in items}
        for service_name in list(self._policy_by_service):
            team, _, name = service_name.partition('/')
            item_keys = {template_key(name), parameters_key(team, name)}
            if item_keys & changed_keys:
                self._policy_by_service.pop(service_name)

    def _compact(self) -> None:
        """Drop the oldest tombstones.

        A peer that lags behind them must get the complete state: a delta no
        longer holds the withdrawal, and the peer would keep the item forever.
        """
        expired_tombstones = self.tombstones[:-_MAX_TOMBSTONES]
        for item in expired_tombstones:
            self._item_by_key.pop(item.key)
            self._min_delta_base = max(self._min_delta_base, item.version)

    def drain(self, agent_id: str) -> DrainModel | None:
        """Return the drain of an agent's VM, None if it is not drained."""
        item = self.item(drain_key(agent_id))
        if item is None:
            return None
        return DrainModel.model_validate_json(item.document)

    def is_drained(self, agent_id: str) -> bool:
        """Return whether an operator has drained the VM of an agent."""
        return self.item(drain_key(agent_id)) is not None

    def _keep_newest(self, items: tuple[ConfigurationItem, ...]) -> None:
        for item in items:
            current = self._item_by_key.get(item.key)
            if current is None or item.version > current.version:
                self._item_by_key[item.key] = item

    def _resolve(self, service_name: str) -> ServicePolicy | None:
        team, _, name = service_name.partition('/')
        template_item = self.item(template_key(name))
        parameters_item = self.item(parameters_key(team, name))
        if template_item is None or parameters_item is None:
            return None
        try:
            template = TemplateModel.model_validate_json(template_item.document)
            own_parameters = ParametersModel.model_validate_json(
                parameters_item.document
            )
        except ValidationError:
            return None
        return _merge_policy(service_name, template, own_parameters)


def _merge_policy(
    service_name: str,
    template: TemplateModel,
    own_parameters: ParametersModel,
) -> ServicePolicy:
    merged_fields = template.model_dump()
    merged_fields.update(own_parameters.model_dump(exclude_none=True))
    size = SizeModel.model_validate(merged_fields['size'])
    return ServicePolicy(
        service_name=service_name,
        team=service_name.partition('/')[0],
        kind=template.kind,
        idempotent=template.idempotent,
        urgency=merged_fields['urgency'],
        deadline_ms=merged_fields['deadline_ms'],
        run_ms=merged_fields['run_ms'],
        zones=tuple(merged_fields['zones']),
        size=Resources(size.cores, size.memory_gb, size.accelerators),
        max_attempts=template.max_attempts,
        keepers=own_parameters.keepers,
    )
