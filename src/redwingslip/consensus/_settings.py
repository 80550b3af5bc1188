"""Settings of the consensus."""

from datetime import timedelta

import msgspec

__all__ = ["ConsensusSettings"]


class ConsensusSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a replica, the same for all members.

    Attributes
    ----------
    election_timeout_min, election_timeout_max : timedelta
        Bounds of the time without a leader after which a member stands for election.
        A member that heard a leader within the lower bound gives nobody its vote.
    heartbeat_interval : timedelta
        Time between the leader's heartbeats.
    clock_rate_margin : float
        Part of the lease that is given up for clocks of unequal rate.
    disk_timeout : timedelta
        A leader whose disk takes longer for one step gives up.
    snapshot_every : int
        Entries between two snapshots.
    n_trailing_entries : int
        Entries kept behind a snapshot for members that are a little late.
    batching : bool
        Sync and send several entries together (group commit).
    max_batch_entries, max_batch_bytes : int
        Bounds of one `Append`.
    max_inflight_entries : int
        Entries sent to a member and not yet acknowledged.
    snapshot_chunk_bytes : int
        Size of one `InstallSnapshot`.
    max_voters : int
        Voting members of a log whose replicas find each other through seeds; any
        replica may join such a log. 0 for a log whose members the settings name.
    voter_silence : timedelta
        Where replicas may join: a voter that has not answered for this long gives
        its place to a replica that holds the whole log.
    """

    election_timeout_min: timedelta = timedelta(milliseconds=600)
    election_timeout_max: timedelta = timedelta(milliseconds=1200)
    heartbeat_interval: timedelta = timedelta(milliseconds=150)
    clock_rate_margin: float = 0.05
    disk_timeout: timedelta = timedelta(seconds=2)
    snapshot_every: int = 4_000
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
            raise ValueError("heartbeat_interval is over half of election_timeout_min")

    @property
    def is_open(self) -> bool:
        """Return whether replicas that the settings don't name may join."""
        return self.max_voters > 0

    @property
    def lease_duration(self) -> timedelta:
        """Return how long contact with a quorum rules out another leader."""
        return self.election_timeout_min * (1 - self.clock_rate_margin)
