"""The memory of the machine that the process runs on."""

from collections.abc import Iterator
from pathlib import Path, PurePosixPath

__all__ = ["machine_memory_bytes"]

ROOT = Path("/")
# Assumed where nothing can be read: the smallest machine that runs a gateway.
DEFAULT_BYTES = 200_000_000


def machine_memory_bytes(root: Path = ROOT) -> int:
    """Return the memory that the process may use at most, in bytes.

    It is the smaller one of the machine's memory and the limits of the control groups
    that the process belongs to.

    Parameters
    ----------
    root : Path
        Root of the file system with ``proc`` and ``sys``.
    """
    sizes = [*_total_sizes(root), *_group_limits(root)]
    return min(sizes, default=DEFAULT_BYTES)


def _total_sizes(root: Path) -> Iterator[int]:
    for line in _read(root / "proc/meminfo").splitlines():
        words = line.split()
        if words[:1] == ["MemTotal:"] and words[1].isdecimal():
            yield int(words[1]) * 1024


def _group_limits(root: Path) -> Iterator[int]:
    """Yield the limits of the process's control group and the groups around it."""
    for line in _read(root / "proc/self/cgroup").splitlines():
        _, controllers, group = line.split(":", 2)
        if not controllers:
            folder, name = root / "sys/fs/cgroup", "memory.max"
        elif "memory" in controllers.split(","):
            folder, name = root / "sys/fs/cgroup/memory", "memory.limit_in_bytes"
        else:
            continue
        path = PurePosixPath(group.lstrip("/"))
        for part in (path, *path.parents):
            text = _read(folder / part / name).strip()
            if text.isdecimal() and int(text):
                yield int(text)


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding="ascii", errors="replace")
    except OSError:
        return ""
