"""The Raft state that a replica holds in every role: term, vote, log and members."""

import random
from datetime import timedelta
from typing import NamedTuple

from ._log import Log
from ._membership import Membership
from ._messages import ConsensusMessage, LogEntry
from ._records import HardState, StoredState
from ._settings import ConsensusSettings
from .exceptions import ConsensusError

__all__ = ["Core", "Envelope"]


class Envelope(NamedTuple):
    """A message and the id of the replica that receives it."""

    receiver_id: str
    message: ConsensusMessage


class _Deferred(NamedTuple):
    """A message to be sent once the log is on disk up to an index."""

    index: int
    envelope: Envelope


class Core:
    """State shared by all roles, and the queue of messages that wait for the disk.

    Parameters
    ----------
    cfg : ConsensusSettings
        The settings.
    stored : StoredState
        The state loaded from the data folder.
    address : str
        ``host:port`` of this replica.
    peers : frozenset of str
        Ids of the other replicas in the settings. This replica sends join requests to
        them, and in an open cluster also to replicas that it learns of later.
    rng : random.Random
        Random source for election timeouts and join challenges.
    """

    __slots__ = (
        "_deferred",
        "_hard_state_saved",
        "_is_saving_hard_state",
        "_outbox",
        "address",
        "cfg",
        "commit_index",
        "incarnation",
        "leader_id",
        "log",
        "membership",
        "peers",
        "replica_id",
        "rng",
        "snapshot",
        "term",
        "voted_for",
    )

    def __init__(
        self,
        *,
        cfg: ConsensusSettings,
        stored: StoredState,
        address: str,
        peers: frozenset[str],
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.replica_id = stored.identity.replica_id
        self.incarnation = stored.identity.incarnation
        self.address = address
        self.peers = set(peers)
        self.rng = rng
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.leader_id = ""
        self.snapshot = stored.snapshot
        self.log = Log(stored.log_start, stored.entries)
        self.membership = _stored_membership(stored)
        self.commit_index = stored.snapshot.index if stored.snapshot else 0
        self._outbox: list[Envelope] = []
        self._deferred: list[_Deferred] = []
        self._hard_state_saved = stored.hard_state
        self._is_saving_hard_state = False

    @property
    def hard_state(self) -> HardState:
        """Return the current term and vote, which must reach the disk."""
        return HardState(term=self.term, voted_for=self.voted_for)

    @property
    def is_hard_state_dirty(self) -> bool:
        """Return whether the term or vote changed since the last save."""
        return self.hard_state != self._hard_state_saved

    @property
    def is_member(self) -> bool:
        """Return whether this incarnation is a member according to its own log."""
        return self.membership.find(self.replica_id, self.incarnation) is not None

    @property
    def is_voter(self) -> bool:
        """Return whether this incarnation is a voter according to its own log."""
        return self.membership.is_voter(self.replica_id, self.incarnation)

    def enter_term(self, term: int) -> None:
        """Move to a newer term and drop the deferred messages of the old one."""
        self.term = term
        self.voted_for = None
        self.leader_id = ""
        self._deferred.clear()

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log and to the membership history."""
        self.log.append(entry)
        self.membership.add_entry(entry)

    def truncate(self, index: int) -> None:
        """Remove the entries from `index` on.

        Raises
        ------
        ConsensusError
            If an entry to be removed is committed.
        """
        if index <= self.commit_index:
            raise ConsensusError(
                f"can't truncate the log at {index}: the entry is committed"
            )
        self.log.truncate(index)
        self.membership.truncate(index)

    def is_log_current(self, last_index: int, last_term: int) -> bool:
        """Return whether a log with this last entry is at least as up to date as ours.

        The last term decides; the last index decides between equal terms.
        """
        candidate_end = (last_term, last_index)
        return candidate_end >= (self.log.last_term, self.log.last_index)

    def send(self, receiver_id: str, message: ConsensusMessage) -> None:
        """Send a message that need not wait for the disk."""
        self._outbox.append(Envelope(receiver_id, message))

    def send_after_sync(
        self, receiver_id: str, message: ConsensusMessage, index: int = 0
    ) -> None:
        """Send a message once the hard state and the log up to `index` are on disk."""
        self._deferred.append(_Deferred(index, Envelope(receiver_id, message)))
        self.release_deferred()

    def release_deferred(self) -> None:
        """Move the deferred messages whose disk write has finished to the outbox."""
        if self._is_saving_hard_state or self.is_hard_state_dirty:
            return
        still_deferred = []
        for deferred in self._deferred:
            if deferred.index <= self.log.stable_index:
                self._outbox.append(deferred.envelope)
            else:
                still_deferred.append(deferred)
        self._deferred = still_deferred

    def take_messages(self) -> tuple[Envelope, ...]:
        """Return and clear the messages that can be sent."""
        messages = tuple(self._outbox)
        self._outbox.clear()
        return messages

    def take_hard_state(self, *, always: bool) -> HardState | None:
        """Return the hard state for the next save, None if it need not be written.

        Parameters
        ----------
        always : bool
            Return the hard state even if it is unchanged.
        """
        if not (always or self.is_hard_state_dirty):
            return None
        self._is_saving_hard_state = self.is_hard_state_dirty
        self._hard_state_saved = self.hard_state
        return self._hard_state_saved

    def mark_saved(self) -> None:
        """Record that the last save is on disk, and release the messages it delayed."""
        self._is_saving_hard_state = False
        self.log.mark_saved()
        self.release_deferred()

    def random_timeout(self) -> timedelta:
        """Return a random election timeout between the configured bounds."""
        low = self.cfg.election_timeout_min
        return low + (self.cfg.election_timeout_max - low) * self.rng.random()


def _stored_membership(stored: StoredState) -> Membership:
    snapshot = stored.snapshot
    if snapshot is None:
        membership = Membership(0, stored.identity.members)
    else:
        membership = Membership(snapshot.index, snapshot.members)
    for entry in stored.entries:
        if entry.index > membership.index:
            membership.add_entry(entry)
    return membership
