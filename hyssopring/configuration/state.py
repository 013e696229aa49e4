"""The configuration in force in one process.

Versions only grow: an update that would step back, or that skips changes in
between, is refused, so a process can be behind but never revert.
"""

from dataclasses import dataclass
from typing import Iterable

from pydantic import ValidationError

from hyssopring.configuration.models import (
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

__all__ = (
    'ConfigurationState',
    'ServicePolicy',
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


def team_key(team: str) -> str:
    """Return the configuration key of a team's quotas."""
    return f'team/{team}'


class ConfigurationState:
    """All templates, parameters and quotas at one version."""

    def __init__(self) -> None:
        """Start empty at version 0."""
        self._version = 0
        self._item_by_key: dict[str, ConfigurationItem] = {}
        self._policy_by_service: dict[str, ServicePolicy | None] = {}

    @property
    def version(self) -> int:
        """The version in force."""
        return self._version

    @property
    def items(self) -> tuple[ConfigurationItem, ...]:
        """All items, in key order; withdrawn ones have empty documents."""
        return tuple(
            self._item_by_key[key] for key in sorted(self._item_by_key)
        )

    def item(self, key: str) -> ConfigurationItem | None:
        """Return an item that is in force."""
        found = self._item_by_key.get(key)
        return found if found is not None and found.document else None

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Step forward to the update's version.

        Returns:
            Whether it took effect; False when it is not newer, or when it
            starts after a version that this process has not seen.
        """
        is_newer = update.version > self._version
        if not is_newer or update.base_version > self._version:
            return False
        if update.base_version == 0:
            self._item_by_key.clear()
        self._keep_newest(update.items)
        self._version = update.version
        self._policy_by_service.clear()
        return True

    def update_since(self, version: int) -> ConfigurationUpdate:
        """Return what a peer at ``version`` lacks."""
        items = tuple(item for item in self.items if item.version > version)
        return ConfigurationUpdate(version, self._version, items)

    def policy(self, service_name: str) -> ServicePolicy | None:
        """Return a service's policy, or None if it is not configured."""
        if service_name not in self._policy_by_service:
            resolved = self._resolve(service_name)
            self._policy_by_service[service_name] = resolved
        return self._policy_by_service[service_name]

    def policies(self) -> Iterable[ServicePolicy]:
        """Return the policy of each team's parameter set."""
        for key in sorted(self._item_by_key):
            kind, _, service_name = key.partition('/')
            if kind == 'parameters':
                policy = self.policy(service_name)
                if policy is not None:
                    yield policy

    def team(self, team: str) -> TeamModel:
        """Return a team's quotas, or the defaults."""
        item = self.item(team_key(team))
        if item is None:
            return TeamModel()
        return TeamModel.model_validate_json(item.document)

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
