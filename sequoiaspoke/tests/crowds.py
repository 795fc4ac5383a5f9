"""Crowds of clients that send much, or little, to one process and then stay."""

import asyncio
import fcntl
import os
import resource
import tempfile
from contextlib import contextmanager, suppress
from pathlib import Path

# File whose lock is held while a crowd is played: one at a time on a machine.
LOCK = Path(tempfile.gettempdir()) / f"sequoiaspoke-crowds-{os.getuid()}.lock"
# Seconds for which connections of a crowd may be opened, for which a crowd stays once
# the process has handled what it sent, and until that is given up.
OPENING, STAYING, HANDLING = 2.0, 1.0, 20.0
# Seconds between two readings of a process's processor time, and the share of them that
# it uses when it has handled a crowd.
READING, IDLE_SHARE = 0.5, 0.2
TICKS = os.sysconf("SC_CLK_TCK")


@contextmanager
def crowds_alone():
    """Wait until no other crowd is played on this machine."""
    with open(LOCK, "a") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def peak_mb(pid):
    """Return the largest size that a process's memory had, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    (value,) = (x.split()[1] for x in status.splitlines() if x.startswith("VmHWM"))
    return int(value) / 1024


def open_descriptors(pid):
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def processor_seconds(pid):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


@contextmanager
def descriptors_limited(count):
    """Limit the descriptors of the child processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def limit_descriptors(pid, count):
    """Limit the descriptors of a child process, which it cannot undo."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))


class CrowdMember(asyncio.Protocol):
    """A connection that sends its bytes at once, and then stays.

    Parameters
    ----------
    parts : tuple of bytes
        What it sends.
    reads : bool
        Whether it reads what it is sent.
    """

    def __init__(self, parts, reads):
        self.parts, self.reads = parts, reads
        self.transport = None

    def connection_made(self, transport):
        """Send everything."""
        self.transport = transport
        if not self.reads:
            transport.pause_reading()
        transport.writelines(self.parts)

    def connection_lost(self, error):
        """Forget the connection."""
        self.transport = None

    def abort(self):
        """Close the connection unless it is closed."""
        if self.transport is not None:
            self.transport.abort()


class Crowd:
    """Connections to one address; they are open within the context.

    Parameters
    ----------
    host, port
        The address.
    count : int
        Number of connections.
    parts : tuple of bytes
        What each of them sends.
    reads : bool
        Whether they read what they are sent.
    """

    def __init__(self, host, port, count, parts=(), reads=True):
        self.address = host, port
        self.count = count
        self.parts, self.reads = tuple(parts), reads
        self.tasks = []

    async def connect(self):
        """Open one connection and return its member; None if that fails."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            _, member = await loop.create_connection(
                lambda: CrowdMember(self.parts, self.reads), *self.address
            )
            return member

    async def __aenter__(self):
        """Open the connections, as many as are accepted."""
        self.tasks = [asyncio.ensure_future(self.connect()) for _ in range(self.count)]
        await asyncio.wait(self.tasks, timeout=OPENING)
        return self

    async def __aexit__(self, *_):
        """Close the connections."""
        for task in self.tasks:
            task.cancel()
        for member in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(member, CrowdMember):
                member.abort()


async def stay(pid):
    """Wait until a process has handled what it was sent, and some time longer."""
    with suppress(TimeoutError):
        async with asyncio.timeout(HANDLING):
            before, now = 0.0, processor_seconds(pid)
            while now - before > IDLE_SHARE * READING:
                await asyncio.sleep(READING)
                before, now = now, processor_seconds(pid)
    await asyncio.sleep(STAYING)


# What clients send.

END = b"\r\n\r\n"
# Header lines of two letters and one character, which take much more memory than bytes.
SHORT_LINE = b"ab:c\r\n"


def head(lines, method="GET", kind="page", target=""):
    """Return the head of a call of a route, up to its last line."""
    path = target or f"/{kind}/1"
    start = f"{method} {path} HTTP/1.1\r\nHost: {kind}.example\r\n"
    return start.encode() + lines.removesuffix(b"\r\n") + END


def filled(line, size):
    """Return as many copies of a header line as fit into some bytes."""
    return line * (size // len(line))


def chunked(start, target=""):
    """Return the start of a request with a chunked body."""
    return head(b"Transfer-Encoding: chunked\r\n", "POST", "book", target) + start


def chunks(data, size, extension=b""):
    """Return a body in chunks of a size, without the last one."""
    chunk = b"%x%s\r\n%s\r\n" % (size, extension, size * b"y")
    return chunk * (data // size)
