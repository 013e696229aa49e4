"""The configuration in force in one process.

Versions only grow: an update that would step back, or that skips changes in
between, is refused, so a process can be behind but never revert. The state
at a version is the same in every process, wherever it was learned.

A withdrawn item stays as a tombstone (an empty document), so that a peer
that is behind hears of the withdrawal. Old tombstones are dropped and the
``floor`` rises to the newest of them: a peer below the floor is given the
whole state, which replaces what it has.
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
    """A template with one team's parameters filled in.

    Attributes:
        service_name: ``team/template``.
        size: What one task or one backend server needs.
        keepers: How many keepers are to be up.
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
    """Return the configuration key that drains an agent's VM."""
    return f'drain/{agent_id}'


def team_key(team: str) -> str:
    """Return the configuration key of a team's quotas."""
    return f'team/{team}'


class ConfigurationState:
    """All templates, parameters and quotas at one version."""

    def __init__(self) -> None:
        """Start empty at version 0."""
        self._version = 0
        self._floor = 0
        self._is_known = False
        self._item_by_key: dict[str, ConfigurationItem] = {}
        self._policy_by_service: dict[str, ServicePolicy | None] = {}
        self._policies: tuple[ServicePolicy, ...] | None = None
        self._team_by_name: dict[str, TeamModel] = {}

    @property
    def version(self) -> int:
        """The version in force."""
        return self._version

    @property
    def is_known(self) -> bool:
        """Whether this process has a configuration to work by.

        A fresh process knows nothing until the table has answered or a peer
        has told it; that there are no items at all counts only when the
        table says so. Until then "no such service" would be a guess.
        """
        return self._is_known

    @property
    def items(self) -> tuple[ConfigurationItem, ...]:
        """All items, in key order; withdrawn ones have empty documents."""
        return tuple(
            self._item_by_key[key] for key in sorted(self._item_by_key)
        )

    @property
    def tombstones(self) -> tuple[ConfigurationItem, ...]:
        """Withdrawn items, the oldest first."""
        withdrawn = [
            item for item in self._item_by_key.values() if not item.document
        ]
        return tuple(sorted(withdrawn, key=lambda item: item.version))

    def item(self, key: str) -> ConfigurationItem | None:
        """Return an item that is in force."""
        found = self._item_by_key.get(key)
        return found if found is not None and found.document else None

    def item_version(self, key: str) -> int:
        """Return the version of an item in force, 0 if there is none."""
        found = self.item(key)
        return 0 if found is None else found.version

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Step forward to the update's version.

        An update with base 0 is the whole state and replaces this one. Any
        other one must start at or before the version in force, or it would
        skip a change; items that are not newer than known ones are ignored.

        Returns:
            Whether it took effect; False when it is not newer, or when it
            starts after a version that this process has not seen.
        """
        is_newer = update.version > self._version
        if not is_newer or update.base_version > self._version:
            return False
        if update.base_version == 0:
            self._item_by_key.clear()
            self._policy_by_service.clear()
            self._floor = update.version
        self._keep_newest(update.items)
        self._version = update.version
        self._is_known = True
        self._compact()
        self._invalidate(update.items)
        return True

    def confirm(self) -> None:
        """The table says that there is nothing newer than this state."""
        self._is_known = True

    def update_since(self, version: int) -> ConfigurationUpdate:
        """Return what a peer at ``version`` lacks."""
        if version < self._floor:
            return ConfigurationUpdate(0, self._version, self.items)
        items = tuple(item for item in self.items if item.version > version)
        return ConfigurationUpdate(version, self._version, items)

    def policy(self, service_name: str) -> ServicePolicy | None:
        """Return a service's policy, or None if it is not configured."""
        if service_name not in self._policy_by_service:
            resolved = self._resolve(service_name)
            self._policy_by_service[service_name] = resolved
        return self._policy_by_service[service_name]

    def policies(self) -> tuple[ServicePolicy, ...]:
        """Return the policy of each team's parameter set, in key order."""
        if self._policies is None:
            services = (
                key.partition('/')[2]
                for key in sorted(self._item_by_key)
                if key.startswith('parameters/')
            )
            found = [self.policy(service_name) for service_name in services]
            self._policies = tuple(
                policy for policy in found if policy is not None
            )
        return self._policies

    def team(self, team: str) -> TeamModel:
        """Return a team's quotas, or the defaults."""
        if team not in self._team_by_name:
            item = self.item(team_key(team))
            self._team_by_name[team] = (
                TeamModel()
                if item is None
                else TeamModel.model_validate_json(item.document)
            )
        return self._team_by_name[team]

    def _invalidate(self, items: tuple[ConfigurationItem, ...]) -> None:
        """Forget what was worked out from the items that changed."""
        self._policies = None
        self._team_by_name.clear()
        changed = {item.key for item in items}
        for service_name in list(self._policy_by_service):
            team, _, name = service_name.partition('/')
            own = {template_key(name), parameters_key(team, name)}
            if own & changed:
                self._policy_by_service.pop(service_name)

    def _compact(self) -> None:
        """Drop the oldest tombstones; peers behind them get the whole state.

        Without the floor a peer that had missed the withdrawal would be sent
        a delta that no longer names it, and would keep the item for good.
        """
        surplus = self.tombstones[:-_MAX_TOMBSTONES]
        for item in surplus:
            self._item_by_key.pop(item.key)
            self._floor = max(self._floor, item.version)

    def drain(self, agent_id: str) -> DrainModel | None:
        """Return how an agent's VM is drained, None if it is not."""
        item = self.item(drain_key(agent_id))
        if item is None:
            return None
        return DrainModel.model_validate_json(item.document)

    def is_drained(self, agent_id: str) -> bool:
        """Whether an operator has drained this agent's VM."""
        return self.item(drain_key(agent_id)) is not None

    def _keep_newest(self, items: tuple[ConfigurationItem, ...]) -> None:
        for item in items:
            known = self._item_by_key.get(item.key)
            if known is None or item.version > known.version:
                self._item_by_key[item.key] = item

    def _resolve(self, service_name: str) -> ServicePolicy | None:
        team, _, name = service_name.partition('/')
        template_item = self.item(template_key(name))
        own_item = self.item(parameters_key(team, name))
        if template_item is None or own_item is None:
            return None
        try:
            template = TemplateModel.model_validate_json(template_item.document)
            own = ParametersModel.model_validate_json(own_item.document)
        except ValidationError:
            return None
        return _merged(service_name, template, own)


def _merged(
    service_name: str,
    template: TemplateModel,
    own: ParametersModel,
) -> ServicePolicy:
    chosen = template.model_dump()
    chosen.update(own.model_dump(exclude_none=True))
    size = SizeModel.model_validate(chosen['size'])
    return ServicePolicy(
        service_name=service_name,
        team=service_name.partition('/')[0],
        kind=template.kind,
        idempotent=template.idempotent,
        urgency=chosen['urgency'],
        deadline_ms=chosen['deadline_ms'],
        run_ms=chosen['run_ms'],
        zones=tuple(chosen['zones']),
        size=Resources(size.cores, size.memory_gb, size.accelerators),
        max_attempts=template.max_attempts,
        keepers=own.keepers,
    )
