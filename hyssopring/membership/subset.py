"""Which entries an agent connects to.

Up to ``FULL_MESH`` entries an agent connects to all of them. Beyond, it takes
that many by rendezvous hashing, spread over zones: every agent works it out
alone, the agents spread evenly over the entries, and an entry that comes or
goes moves only the agents that gain or lose it.
"""

import hashlib
from functools import lru_cache
from itertools import chain, zip_longest
from typing import Final, Iterable

from hyssopring.protocol.messages import EntryMember

__all__ = ('FULL_MESH', 'choose_entries')

FULL_MESH: Final = 12
_SCORE_BYTES: Final = 8
_MAX_SCORES: Final = 4096


def choose_entries(
    agent_id: str,
    members: Iterable[EntryMember],
    size: int = FULL_MESH,
) -> tuple[EntryMember, ...]:
    """Return the entries of an agent's subset, the best ones first.

    One of each zone in turn, so that a lost zone takes no more than its
    share of the connections.
    """
    by_zone: dict[str, list[EntryMember]] = {}
    ranked = sorted(
        members,
        key=lambda member: _score(agent_id, member.entry_id),
    )
    for member in ranked:
        by_zone.setdefault(member.zone, []).append(member)
    zones = sorted(by_zone, key=lambda zone: _score(agent_id, zone))
    turns = zip_longest(*(by_zone[zone] for zone in zones))
    spread = [member for member in chain.from_iterable(turns) if member]
    return tuple(spread[:size])


@lru_cache(maxsize=_MAX_SCORES)
def _score(agent_id: str, name: str) -> bytes:
    text = f'{agent_id}|{name}'
    return hashlib.blake2b(text.encode(), digest_size=_SCORE_BYTES).digest()
