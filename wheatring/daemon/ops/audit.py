"""The audit: each state change is one line on standard error, chained to the previous line by its hash.

    AUDIT seq=4 ms=1733900000123 name=n3 event=config actor=platform prev=9c2e… hash=51ab…

`hash` is SHA-256 over the previous hash and the text between `AUDIT ` and ` prev=`. Values are quoted as in
URLs, so that none contains a space or a line break. The first line of a start uses the hash of its own name
and time as its previous hash.
"""

from __future__ import annotations

import hashlib
import os
import re
from collections import deque
from collections.abc import Iterable
from stat import S_ISFIFO, S_ISSOCK
from urllib.parse import quote

from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.operator_properties import OperatorProperties

MAX_UNWRITTEN_LINES = 1000
RETRY_SECONDS = 0.05  # between writes while standard error is not read

UNDETECTED_NOTE = (
    "note: lines lost from the end of a start, and starts lost completely, can't be seen from the rest"
)

_LINE = re.compile(
    rb"AUDIT (seq=([1-9][0-9]{0,15}) ms=([0-9]{1,15}) name=(\S+) event=\S+ actor=\S+(?: [a-z]+=\S*)*)"
    rb" prev=([0-9a-f]{64}) hash=([0-9a-f]{64})"
)


def _initial_hash(name: str, ms: int) -> str:
    """Return the previous hash of the first line of a start; `name` is quoted, so it contains no space."""
    return hashlib.sha256(f"{name} {ms}".encode()).hexdigest()


def chained_hash(prev: str, fields: str) -> str:
    """Return the hash of a line, from the previous line's hash and its own fields."""
    return hashlib.sha256(f"{prev} {fields}".encode()).hexdigest()


def _quote(value: object) -> str:
    return quote(str(value), safe="/:.,", errors="surrogatepass")


class Audit:
    """Writes the audit lines of one sidecar to standard error, and to a file if one is configured.

    Attributes
    ----------
    seq, previous_hash : int and str
        The sequence number and the hash of the last line of this start.
    unwritten : deque of bytes
        Lines that are not written to standard error yet.
    """

    def __init__(self, name: str, clock: Clock, file: str) -> None:
        self.name = _quote(name)
        self.clock = clock
        self.file = file
        self.seq = 0
        self.previous_hash = ""
        self.unwritten: deque[bytes] = deque()
        self.retry_timer: Timer | None = None
        self.file_failed = False
        if S_ISFIFO(os.fstat(2).st_mode) or S_ISSOCK(os.fstat(2).st_mode):
            os.set_blocking(2, False)  # a stalled reader must not block requests

    def record(self, event: str, actor: str, **values: object) -> None:
        """Write a line on a state change."""
        self.seq += 1
        ms = int(self.clock.unix() * 1000)
        if self.seq == 1:
            self.previous_hash = _initial_hash(self.name, ms)
        fields = f"seq={self.seq} ms={ms} name={self.name} event={event} actor={actor}"
        fields += "".join(f" {key}={_quote(value)}" for key, value in values.items())
        line_hash = chained_hash(self.previous_hash, fields)
        data = f"AUDIT {fields} prev={self.previous_hash} hash={line_hash}\n".encode()
        self.previous_hash = line_hash
        if self.file:
            self.append_to_file(data)
        if len(self.unwritten) < MAX_UNWRITTEN_LINES:
            self.unwritten.append(data)
        else:  # the chain of hashes shows the gap as well
            log.line("audit-lost", warning="standard error is not read", seq=self.seq)
        if self.retry_timer is None:
            self.flush()

    def record_key_changes(self, old: OperatorProperties, new: OperatorProperties) -> None:
        """Record which keys of the operators' file were added, removed or replaced; never their values."""
        before, after = _keys(old), _keys(new)
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                change = "added" if key not in before else "removed" if key not in after else "replaced"
                self.record("key", "operators", key=key, change=change)

    def append_to_file(self, data: bytes) -> None:
        """Append one line to the permanent copy, which may be moved away between any two lines."""
        try:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_NONBLOCK | os.O_CLOEXEC
            file = os.open(self.file, flags, 0o640)
            try:
                if os.write(file, data) < len(data):
                    os.write(file, b"\n")  # the next line must not continue an incomplete one
                    raise OSError(0, "not written whole")
            finally:
                os.close(file)
        except OSError as error:
            if not self.file_failed:
                self.file_failed = True
                log.line("audit-file-failed", warning=error.strerror, file=self.file)

    def flush(self) -> None:
        """Write pending lines until standard error accepts no more."""
        self.retry_timer = None
        while self.unwritten:
            data = self.unwritten[0]
            try:
                written = os.write(2, data)
            except BlockingIOError:
                written = 0
            except OSError as error:  # the reader has closed it
                log.line("audit-lost", warning=error.strerror, lines=len(self.unwritten))
                self.unwritten.clear()
                return
            if written == len(data):
                self.unwritten.popleft()
                continue
            self.unwritten[0] = data[written:]
            if not written:
                self.retry_timer = self.clock.at(self.clock.now() + RETRY_SECONDS, self.flush)
                return

    def close(self) -> None:
        """Write the pending lines for the last time, after the period in which callers may still arrive."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.flush()
        if self.unwritten:
            log.line("audit-lost", warning="standard error is not read", lines=len(self.unwritten))


def _keys(properties: OperatorProperties) -> dict[str, object]:
    keys: dict[str, object] = {f"tokens.key.{kid}": key for kid, key in properties.tokens.keys.items()}
    if properties.drill.key is not None:
        keys["drill.key"] = properties.drill.key
    if properties.tokens.issue:
        keys["tokens.issue.kid"] = properties.tokens.issue
    return keys


def verify(file: Iterable[bytes]) -> str:
    """Return the first invalid line of a log and the reason; an empty text if all are valid.

    The log may contain lines of several starts and sidecars, and other lines than the audit's.
    """
    chains: dict[bytes, tuple[int, bytes]] = {}  # the last line's seq and hash by sidecar name
    starts: set[tuple[bytes, bytes]] = set()
    found = False
    for number, raw_line in enumerate(file, 1):
        line = raw_line.removesuffix(b"\n")
        if not line.startswith(b"AUDIT") and not (line and b"AUDIT".startswith(line)):
            continue
        found = True
        match = _LINE.fullmatch(line)
        fault = "not a complete audit line"
        if match is not None:
            fields, seq, ms, name, prev, line_hash = match.groups()
            if chained_hash(prev.decode(), fields.decode("latin-1")).encode() != line_hash:
                fault = "its hash is not that of its fields"
            elif int(seq) == 1:
                is_repeated = (name, ms) in starts
                starts.add((name, ms))
                is_chained = prev.decode() == _initial_hash(name.decode("latin-1"), int(ms))
                fault = (
                    "a start recorded twice"
                    if is_repeated
                    else ""
                    if is_chained
                    else "not chained from its name and time"
                )
            elif name not in chains:
                fault = f"seq {int(seq)} before any start of its sidecar"
            elif int(seq) != chains[name][0] + 1:
                fault = f"seq {int(seq)} follows {chains[name][0]}"
            else:
                fault = "" if prev == chains[name][1] else "not chained from the line before"
            chains[name] = (int(seq), line_hash)
        if fault:
            return f"line {number} is bad ({fault}): {line.decode('ascii', 'backslashreplace')}"
    return "" if found else "there is no audit line"
