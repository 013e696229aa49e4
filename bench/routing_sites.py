"""Deployments of the two users, as modelled by the routing experiments."""

from dataclasses import dataclass

from hyssopring.protocol.messages import Resources

AGENTS = 11
SLOTS = 8
SERVICE_MS = 50.0
DEADLINE_MS = 2000.0


@dataclass(frozen=True)
class Site:
    """The deployment of a user."""

    name: str
    team: str
    template: str
    zones: tuple
    zone_ms: float
    capacity: Resources
    idempotent: bool

    @property
    def service(self):
        return f'{self.team}/{self.template}'


TRUST = Site(
    'trust',
    'trust',
    'booking',
    ('paddock', 'tack-room', 'office'),
    0.5,
    Resources(16, 60, 0),
    idempotent=False,
)
HEMEROTECA = Site(
    'hemeroteca',
    'hemeroteca',
    'search',
    ('zone-1', 'zone-2', 'zone-3'),
    1.0,
    Resources(32, 125, 0),
    idempotent=True,
)
SITES = {site.name: site for site in (TRUST, HEMEROTECA)}
