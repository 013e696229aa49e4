"""Choice of the entries that an agent connects to.

An agent connects to all entries if there are at most ``FULL_MESH``. Otherwise
it chooses that many by rendezvous hashing, spread over zones. Agents need no
coordination, are spread evenly over the entries, and when an entry is added
or removed only the agents that gain or lose it change connections.
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
    """Return the entries of an agent's subset, best ranked first.

    Zones alternate, so that the loss of a zone ends no more than its share
    of the connections.
    """
    by_zone: dict[str, list[EntryMember]] = {}
    ranked = sorted(
        members,
        key=lambda member: _score(agent_id, member.entry_id),
    )
    for member in ranked:
        by_zone.setdefault(member.zone, []).append(member)
    zones = sorted(by_zone, key=lambda zone: _score(agent_id, zone))
    rounds = zip_longest(*(by_zone[zone] for zone in zones))
    interleaved = [member for member in chain.from_iterable(rounds) if member]
    return tuple(interleaved[:size])


@lru_cache(maxsize=_MAX_SCORES)
def _score(agent_id: str, candidate: str) -> bytes:
    text = f'{agent_id}|{candidate}'
    return hashlib.blake2b(text.encode(), digest_size=_SCORE_BYTES).digest()
