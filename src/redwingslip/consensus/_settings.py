"""Settings of the consensus layer."""

from datetime import timedelta

import msgspec

__all__ = ["ConsensusSettings"]


class ConsensusSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a replica, which must be the same for all members.

    Attributes
    ----------
    election_timeout_min, election_timeout_max : timedelta
        Bounds of the random time without leader contact after which a member starts an
        election. A member with leader contact within the lower bound grants no vote.
    heartbeat_interval : timedelta
        Time between the leader's heartbeats.
    clock_rate_margin : float
        Fraction by which the leader's lease is shortened to allow for different clock
        rates.
    disk_timeout : timedelta
        A leader steps down when one save takes this long.
    snapshot_every : int
        Entries between two snapshots.
    max_log_bytes : int
        Bytes of entries after which a snapshot is taken earlier. At most half as many
        bytes of entries before a snapshot are kept.
    n_trailing_entries : int
        Entries before a snapshot that the log keeps, so that slightly delayed members
        need no snapshot.
    batching : bool
        Sync and send several entries together (group commit).
    max_batch_entries, max_batch_bytes : int
        Bounds of the entries in one `Append`.
    max_inflight_entries : int
        Bound of the entries sent to a member and not yet acknowledged.
    snapshot_chunk_bytes : int
        Size of the data in one `InstallSnapshot`.
    max_voters : int
        Bound of the voting members of an open cluster, whose replicas find each other
        through seeds and which any replica may join. 0 for a cluster whose members are
        listed in the settings. There is one more while an unresponsive one is replaced.
    voter_silence : timedelta
        In an open cluster, a voter that has not replied for this long is replaced by a
        replica that holds the whole log.
    """

    election_timeout_min: timedelta = timedelta(milliseconds=600)
    election_timeout_max: timedelta = timedelta(milliseconds=1200)
    heartbeat_interval: timedelta = timedelta(milliseconds=150)
    clock_rate_margin: float = 0.05
    disk_timeout: timedelta = timedelta(seconds=2)
    snapshot_every: int = 4_000
    max_log_bytes: int = 16 * 1024 * 1024
    n_trailing_entries: int = 500
    batching: bool = True
    max_batch_entries: int = 256
    max_batch_bytes: int = 256 * 1024
    max_inflight_entries: int = 2_048
    snapshot_chunk_bytes: int = 64 * 1024
    max_voters: int = 0
    voter_silence: timedelta = timedelta(seconds=3)

    def __post_init__(self) -> None:
        if self.election_timeout_max <= self.election_timeout_min:
            raise ValueError("election_timeout_max must exceed election_timeout_min")
        if 2 * self.heartbeat_interval > self.election_timeout_min:
            raise ValueError(
                "heartbeat_interval must not exceed half of election_timeout_min"
            )

    @property
    def is_open(self) -> bool:
        """Return whether replicas that are not listed in the settings may join."""
        return self.max_voters > 0

    @property
    def lease_duration(self) -> timedelta:
        """Return how long contact with a quorum rules out another leader.

        The contacted members grant no vote for `election_timeout_min`; the margin
        allows for their clocks.
        """
        return self.election_timeout_min * (1 - self.clock_rate_margin)
