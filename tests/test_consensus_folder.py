"""Tests of the data folder."""

import unittest
from contextlib import suppress
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingslip.consensus import (
    DataFolder,
    DataFolderError,
    EntryKind,
    HardState,
    LogEntry,
    LogStart,
    Member,
    Save,
    Snapshot,
    bootstrap_data_folder,
)
from redwingslip.storage import CorruptLogError
from tests._memory_files import CrashError, MemoryFiles, new_rng

PATH = Path("/data")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "replace", "vote", "compact"]), st.integers(1, 3)
    ),
    min_size=1,
    max_size=8,
)


class Model:
    """A model of the folder's expected content, with plain lists."""

    def __init__(self):
        self.term = 1
        self.start = LogStart()
        self.entries = []
        self.snapshot = None

    def copy(self):
        """Return a copy."""
        other = Model()
        other.term, other.start = self.term, self.start
        other.entries, other.snapshot = list(self.entries), self.snapshot
        return other

    def step(self, kind, count):
        """Change the model; return the save and snapshot for the change."""
        if kind == "vote":
            self.term += count
            return Save(hard_state=self.hard_state), None
        if kind == "compact":
            return self._compact(count)
        truncate_from = 0
        if kind == "replace" and self.entries:
            self.term += 1
            truncate_from = max(self.entries[0].index, self.last - count + 1)
            if self.snapshot is not None:
                truncate_from = max(truncate_from, self.snapshot.index + 1)
            del self.entries[truncate_from - self.start.index - 1 :]
        new = [
            LogEntry(self.last + 1 + i, self.term, EntryKind.COMMAND, b"x")
            for i in range(count)
        ]
        self.entries.extend(new)
        hard_state = self.hard_state if truncate_from else None
        save = Save(
            hard_state=hard_state, truncate_from=truncate_from, entries=tuple(new)
        )
        return save, None

    @property
    def last(self):
        """Return the index of the last entry."""
        return self.start.index + len(self.entries)

    @property
    def hard_state(self):
        """Return the term and a vote."""
        return HardState(term=self.term, voted_for=("a", "a.0"))

    def _compact(self, n_kept):
        index = self.last
        term = self.entries[-1].term if self.entries else self.start.term
        self.snapshot = Snapshot(index=index, term=term, members=(), data=b"state")
        dropped = self.entries[: max(0, len(self.entries) - n_kept)]
        if dropped:
            last = dropped[-1]
            self.start = LogStart(index=last.index, term=last.term)
            self.entries = self.entries[len(dropped) :]
        save = Save(
            hard_state=self.hard_state,
            entries=tuple(self.entries),
            log_start=self.start,
        )
        return save, self.snapshot

    def describe(self):
        """Return the log and snapshot as a load should return them."""
        return self.start, tuple(self.entries), self.snapshot


class TestDataFolder(unittest.TestCase):
    """Saves, crashes and loads."""

    @settings(max_examples=5 * settings().max_examples)
    @given(steps=STEPS, n_steps=st.integers(0, 11), seed=st.integers(0, 99))
    def test_crash_in_a_save_loses_at_most_that_save(self, steps, n_steps, seed):
        """After a crash the folder holds the state before the save or after it."""
        files = MemoryFiles()
        folder = DataFolder(PATH, files)
        folder.load("a")
        model = Model()
        folder.save(Save(hard_state=model.hard_state))
        for kind, count in steps[:-1]:
            folder.save(*model.step(kind, count))
        before = model.copy()
        save = model.step(*steps[-1])
        files.steps_left = n_steps
        with suppress(CrashError):
            folder.save(*save)
            before = model
        files.crash(new_rng(seed))
        loaded = DataFolder(PATH, files).load("a")
        loaded_log = (loaded.log_start, loaded.entries, loaded.snapshot)
        expected = [before.describe(), model.describe()]
        # A crash after writing the snapshot leaves the new snapshot with the old log.
        expected.append((before.start, tuple(before.entries), model.snapshot))
        self.assertIn(loaded_log, expected)
        self.assertIn(loaded.hard_state, [before.hard_state, model.hard_state])

    def test_installed_snapshot_replaces_a_log_that_ends_before_it(self):
        """A crash between the writes of an installed snapshot and its log.

        The log then ends before the snapshot and must be discarded.
        """
        files = MemoryFiles()
        folder = DataFolder(PATH, files)
        folder.load("a")
        entry = LogEntry(1, 1, EntryKind.COMMAND, b"x")
        folder.save(Save(hard_state=HardState(term=1), entries=(entry,)))
        snapshot = Snapshot(index=9, term=2, members=(), data=b"state")
        start = LogStart(index=9, term=2)
        save = Save(hard_state=HardState(term=2), log_start=start)
        files.steps_left = 5
        with self.assertRaises(CrashError):
            folder.save(save, snapshot)
        files.crash()
        folder = DataFolder(PATH, files)
        loaded = folder.load("a")
        self.assertEqual((loaded.log_start, loaded.entries), (start, ()))
        folder.save(Save(entries=(LogEntry(10, 2, EntryKind.COMMAND, b"y"),)))
        loaded = DataFolder(PATH, files).load("a")
        self.assertEqual([entry.index for entry in loaded.entries], [10])

    def test_missing_snapshot_is_an_error(self):
        """A log whose snapshot is missing must not be loaded as complete."""
        files = MemoryFiles()
        folder = DataFolder(PATH, files)
        folder.load("a")
        save = Save(hard_state=HardState(term=1), log_start=LogStart(index=5, term=1))
        folder.save(save)
        with self.assertRaises(CorruptLogError):
            DataFolder(PATH, files).load("a")


class TestIdentity(unittest.TestCase):
    """Identity and incarnation of a replica."""

    def test_lost_folder_gives_a_new_incarnation(self):
        """The incarnation changes only when the folder is lost."""
        files = MemoryFiles()
        first = DataFolder(PATH, files).load("a").identity
        self.assertEqual(DataFolder(PATH, files).load("a").identity, first)
        second = DataFolder(PATH, MemoryFiles()).load("a").identity
        self.assertNotEqual(second.incarnation, first.incarnation)
        self.assertFalse(second.founder)

    def test_second_bootstrap_is_refused(self):
        """A folder that holds a replica can't be bootstrapped again."""
        files = MemoryFiles()
        incarnation = bootstrap_data_folder(PATH, "a", files=files)
        with self.assertRaises(DataFolderError):
            bootstrap_data_folder(PATH, "a", files=files)
        identity = DataFolder(PATH, files).load("a").identity
        self.assertEqual((identity.incarnation, identity.founder), (incarnation, True))

    def test_initial_members_are_durable(self):
        """The initial members survive a crash once they are saved."""
        files = MemoryFiles()
        bootstrap_data_folder(PATH, "a", files=files)
        folder = DataFolder(PATH, files)
        identity = folder.load("a").identity
        members = (Member(replica_id="a", incarnation="i", address="a:1"),)
        folder.save_initial_members(identity, members)
        files.crash()
        self.assertEqual(DataFolder(PATH, files).load("a").identity.members, members)

    def test_folder_of_another_replica_is_refused(self):
        """A replica does not start from another replica's folder."""
        files = MemoryFiles()
        bootstrap_data_folder(PATH, "a", files=files)
        with self.assertRaises(DataFolderError):
            DataFolder(PATH, files).load("b")


if __name__ == "__main__":
    unittest.main()
