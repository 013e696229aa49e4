"""Merges several callers' transactions into one, and divides its answer.

A table commits so many transactions a second, whatever their size. Merged
ones still stand or fall alone: each row carries the operation id of its own
transaction, and only those whose checks failed are told of a conflict.
"""

from dataclasses import dataclass, field
from typing import Iterable

from hyssopring.store.rows import (
    Check,
    CommitCallback,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
)

__all__ = ('Group', 'GroupOutcome', 'Pending')

_MAX_PUTS = 256


@dataclass(frozen=True, slots=True)
class Pending:
    """A transaction that waits for its answer."""

    transaction: Transaction
    done: CommitCallback
    give_up_at: float


@dataclass(frozen=True, slots=True)
class GroupOutcome:
    """What an answer means for the members of a group.

    Attributes:
        outcome_by_operation: Of those that are decided.
        again: Members that a conflict of others kept from being committed.
    """

    outcome_by_operation: dict[str, Committed | Conflict]
    again: list[Pending]


@dataclass(slots=True)
class Group:
    """Transactions on separate rows, committed together."""

    max_members: int = 64
    members: list[Pending] = field(default_factory=list)
    attempts: int = 0
    _checked: dict[str, int] = field(default_factory=dict)
    _written: set[str] = field(default_factory=set)

    @property
    def checks(self) -> tuple[Check, ...]:
        """All checks, each row once."""
        return tuple(
            Check(key, version) for key, version in self._checked.items()
        )

    @property
    def puts(self) -> Iterable[tuple[Put, str]]:
        """All writes, each with the id of its own transaction."""
        for member in self.members:
            for put in member.transaction.puts:
                yield put, member.transaction.operation

    @property
    def give_up_at(self) -> float:
        """When the most patient member gives up."""
        return max(member.give_up_at for member in self.members)

    def add(self, pending: Pending) -> bool:
        """Take a transaction in; False if it touches what another writes."""
        transaction = pending.transaction
        keys = {put.key for put in transaction.puts}
        is_full = (
            len(self.members) >= self.max_members
            or len(self._written) + len(keys) > _MAX_PUTS
        )
        if self.members and is_full:
            return False
        if keys & (self._written | self._checked.keys()):
            return False
        if not all(self._agrees(check) for check in transaction.checks):
            return False
        self.members.append(pending)
        self._written |= keys
        for check in transaction.checks:
            self._checked[check.key] = check.version
        return True

    def divide(self, answer: Committed | Conflict) -> GroupOutcome:
        """Divide an answer among the members.

        A row with a member's own operation id shows that an earlier copy
        took effect and its answer was lost. A member whose rows were written
        over since is told of a conflict, as if it had come later.
        """
        if isinstance(answer, Committed):
            return self._committed(answer)
        row_by_key = {row.key: row for row in answer.rows}
        took_effect = any(
            _rows_of(member, row_by_key, is_own=True) for member in self.members
        )
        divided = GroupOutcome({}, [])
        for member in self.members:
            operation = member.transaction.operation
            own = _rows_of(member, row_by_key, is_own=True)
            foreign = _rows_of(member, row_by_key, is_own=False)
            if foreign:
                divided.outcome_by_operation[operation] = Conflict(foreign)
            elif took_effect:
                versions = {row.key: row.version for row in own}
                divided.outcome_by_operation[operation] = Committed(versions)
            else:
                divided.again.append(member)
        return divided

    def _agrees(self, check: Check) -> bool:
        known = self._checked.get(check.key, check.version)
        return check.key not in self._written and known == check.version

    def _committed(self, answer: Committed) -> GroupOutcome:
        divided = GroupOutcome({}, [])
        for member in self.members:
            versions = {
                put.key: answer.version_by_key[put.key]
                for put in member.transaction.puts
            }
            operation = member.transaction.operation
            divided.outcome_by_operation[operation] = Committed(versions)
        return divided


def _rows_of(
    member: Pending,
    row_by_key: dict[str, Row],
    *,
    is_own: bool,
) -> tuple[Row, ...]:
    """Return the rows in conflict with a member's checks, own or foreign."""
    operation = member.transaction.operation
    return tuple(
        row_by_key[check.key]
        for check in member.transaction.checks
        if check.key in row_by_key
        and (row_by_key[check.key].operation == operation) == is_own
    )
