"""Groups of transactions that are committed as one.

The table limits transactions per second regardless of their size. The outcome
of each member stays separate: each row carries the operation id of its own
transaction, and only members whose checks failed receive a conflict.
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

__all__ = ('Group', 'GroupOutcome', 'PendingCommit')

_MAX_PUTS = 256


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A transaction without an outcome yet.

    Attributes:
        done: Called once with the outcome.
        deadline: Time in ms at which the caller stops waiting.
    """

    transaction: Transaction
    done: CommitCallback
    deadline: float


@dataclass(frozen=True, slots=True)
class GroupOutcome:
    """The outcomes of a group's members.

    Attributes:
        outcome_by_operation: Outcomes by operation id of the members that
            are committed or in conflict.
        retries: Members that were not committed only because of a conflict of
            another member.
    """

    outcome_by_operation: dict[str, Committed | Conflict]
    retries: list[PendingCommit]


@dataclass(slots=True)
class Group:
    """Transactions on disjoint rows that are committed together.

    Attributes:
        max_members: Largest number of members.
        members: The transactions, in the order of ``add``.
        attempts: How often the group has been sent.
    """

    max_members: int = 64
    members: list[PendingCommit] = field(default_factory=list)
    attempts: int = 0
    _version_by_checked_key: dict[str, int] = field(default_factory=dict)
    _written_keys: set[str] = field(default_factory=set)

    @property
    def checks(self) -> tuple[Check, ...]:
        """The checks of all members, one for each row."""
        return tuple(
            Check(key, version)
            for key, version in self._version_by_checked_key.items()
        )

    @property
    def puts(self) -> Iterable[tuple[Put, str]]:
        """The writes of all members, each with its operation id."""
        for member in self.members:
            for put in member.transaction.puts:
                yield put, member.transaction.operation

    @property
    def deadline(self) -> float:
        """The latest deadline of the members, in ms."""
        return max(member.deadline for member in self.members)

    def add(self, pending: PendingCommit) -> bool:
        """Add a transaction unless the group is full or overlaps with it.

        They overlap if the transaction writes a row that a member checks or
        writes, or checks a row that a member writes or checks at another
        version.

        Returns:
            Whether the transaction was added.
        """
        transaction = pending.transaction
        written_keys = {put.key for put in transaction.puts}
        is_full = (
            len(self.members) >= self.max_members
            or len(self._written_keys) + len(written_keys) > _MAX_PUTS
        )
        if self.members and is_full:
            return False
        if written_keys & (
            self._written_keys | self._version_by_checked_key.keys()
        ):
            return False
        if not all(self._is_compatible(check) for check in transaction.checks):
            return False
        self.members.append(pending)
        self._written_keys |= written_keys
        for check in transaction.checks:
            self._version_by_checked_key[check.key] = check.version
        return True

    def split_outcome(self, outcome: Committed | Conflict) -> GroupOutcome:
        """Return the outcome of each member from that of the group.

        A row with a member's own operation id shows that an earlier attempt
        was committed and its response was lost. A member whose rows have been
        overwritten since then gets a conflict, as if it had come later.
        """
        if isinstance(outcome, Committed):
            return self._commit_outcomes(outcome)
        row_by_key = {row.key: row for row in outcome.rows}
        is_earlier_copy_committed = any(
            _conflicting_rows(member, row_by_key, is_own=True)
            for member in self.members
        )
        group_outcome = GroupOutcome({}, [])
        for member in self.members:
            operation = member.transaction.operation
            own = _conflicting_rows(member, row_by_key, is_own=True)
            foreign = _conflicting_rows(member, row_by_key, is_own=False)
            if foreign:
                group_outcome.outcome_by_operation[operation] = Conflict(
                    foreign
                )
            elif is_earlier_copy_committed:
                versions = {row.key: row.version for row in own}
                group_outcome.outcome_by_operation[operation] = Committed(
                    versions
                )
            else:
                group_outcome.retries.append(member)
        return group_outcome

    def _is_compatible(self, check: Check) -> bool:
        expected = self._version_by_checked_key.get(check.key, check.version)
        return check.key not in self._written_keys and expected == check.version

    def _commit_outcomes(self, outcome: Committed) -> GroupOutcome:
        group_outcome = GroupOutcome({}, [])
        for member in self.members:
            versions = {
                put.key: outcome.version_by_key[put.key]
                for put in member.transaction.puts
            }
            operation = member.transaction.operation
            group_outcome.outcome_by_operation[operation] = Committed(versions)
        return group_outcome


def _conflicting_rows(
    member: PendingCommit,
    row_by_key: dict[str, Row],
    *,
    is_own: bool,
) -> tuple[Row, ...]:
    """Return the rows that failed a member's checks.

    Args:
        member: The member.
        row_by_key: The rows in conflict with the group.
        is_own: Whether to return the rows that the member wrote itself, or
            those that another transaction wrote.
    """
    operation = member.transaction.operation
    return tuple(
        row_by_key[check.key]
        for check in member.transaction.checks
        if check.key in row_by_key
        and (row_by_key[check.key].operation == operation) == is_own
    )
