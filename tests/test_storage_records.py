"""Tests of record logs and record files."""

import errno
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from redwingslip.storage import (
    CorruptLogError,
    RecordLog,
    StorageWriteError,
    read_record_file,
    write_record_file,
)
from tests._memory_files import CrashError, MemoryFiles, new_rng

PATH = Path("/data/log")
PAYLOADS = st.lists(st.binary(max_size=40), min_size=1, max_size=6)


def new_log(files, payloads):
    """Create a log with the given records."""
    log = RecordLog(PATH, files)
    log.rewrite(payloads[:1])
    for payload in payloads[1:]:
        log.append(payload)
    return log


class TestRecordLog(unittest.TestCase):
    """Reading records back after crashes and corruption."""

    @given(payloads=PAYLOADS, n_steps=st.integers(0, 2), seed=st.integers(0, 99))
    def test_crash_loses_only_what_was_not_synced(self, payloads, n_steps, seed):
        """After a crash the log has all synced records and at most one more."""
        files = MemoryFiles()
        log = new_log(files, payloads)
        files.steps_left = n_steps
        try:
            log.append(b"last")
            synced = [*payloads, b"last"]
        except CrashError:
            synced = payloads
        files.crash(new_rng(seed))
        payloads_read = RecordLog(PATH, files).open()
        self.assertIn(payloads_read, [synced, [*payloads, b"last"]])
        reopened = RecordLog(PATH, files)
        reopened.open()
        reopened.append(b"more")
        self.assertEqual(RecordLog(PATH, files).open(), [*payloads_read, b"more"])

    @given(payloads=PAYLOADS, cut=st.integers(1, 8), data=st.data())
    def test_corrupt_record_in_the_middle_is_an_error(self, payloads, cut, data):
        """A changed byte before the last record is reported with its offset."""
        files = MemoryFiles()
        log = new_log(files, payloads)
        size = log.n_bytes
        log.append(b"last")
        position = data.draw(st.integers(0, size - 1))
        content = bytearray(files.read(PATH))
        content[position] ^= cut
        files.overwrite(PATH, bytes(content))
        with self.assertRaises(CorruptLogError) as caught:
            RecordLog(PATH, files).open()
        self.assertEqual(caught.exception.path, PATH)
        self.assertLessEqual(caught.exception.offset, position)
        self.assertEqual(files.read(PATH), bytes(content))

    def test_log_without_a_first_record_is_an_error(self):
        """A log that lost its content must not be treated as a new one."""
        files = MemoryFiles()
        for content in (b"", bytes(64)):
            files.overwrite(PATH, content)
            with self.assertRaises(CorruptLogError):
                RecordLog(PATH, files).open()

    def test_zeros_at_the_end_are_cut_off(self):
        """Zeros that the file system reserved at the end of the file are no record."""
        files = MemoryFiles()
        new_log(files, [b"a"])
        files.overwrite(PATH, files.read(PATH) + bytes(64))
        self.assertEqual(RecordLog(PATH, files).open(), [b"a"])

    def test_failed_sync_is_not_retried(self):
        """After a failed sync the log accepts no more records."""
        files = MemoryFiles()
        log = new_log(files, [b"a"])
        files.error = OSError(errno.EIO, "input/output error")
        files.steps_left = 1
        with self.assertRaises(StorageWriteError):
            log.append(b"b")
        files.steps_left = None
        with self.assertRaises(StorageWriteError):
            log.append(b"c")

    @given(n_steps=st.integers(0, 5), seed=st.integers(0, 99))
    def test_rewrite_is_all_or_nothing(self, n_steps, seed):
        """A crash during a rewrite leaves either the old records or the new ones."""
        files = MemoryFiles()
        log = new_log(files, [b"a", b"b"])
        files.steps_left = n_steps
        try:
            log.rewrite([b"c"])
            expected = [[b"c"]]
        except CrashError:
            expected = [[b"a", b"b"], [b"c"]]
        files.crash(new_rng(seed))
        self.assertIn(RecordLog(PATH, files).open(), expected)


class TestRecordFile(unittest.TestCase):
    """Files that are replaced atomically."""

    @given(n_steps=st.integers(0, 5), seed=st.integers(0, 99))
    def test_replacement_is_atomic(self, n_steps, seed):
        """A crash during a replacement leaves either the old content or the new."""
        files = MemoryFiles()
        write_record_file(PATH, b"old", files)
        files.steps_left = n_steps
        try:
            write_record_file(PATH, b"new", files)
            expected = [b"new"]
        except CrashError:
            expected = [b"old", b"new"]
        files.crash(new_rng(seed))
        self.assertIn(read_record_file(PATH, files), expected)

    def test_changed_content_is_an_error(self):
        """A changed byte is detected."""
        files = MemoryFiles()
        write_record_file(PATH, b"content", files)
        files.overwrite(PATH, files.read(PATH)[:-1] + b"?")
        with self.assertRaises(CorruptLogError):
            read_record_file(PATH, files)


if __name__ == "__main__":
    unittest.main()
