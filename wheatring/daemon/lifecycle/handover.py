"""Two processes of one sidecar, a newer and an older one: their files, and all that touches them.

    service-NAME.orders     what the operators have ordered, replaced whole
    service-NAME.lock       locked for the moment in which orders or limits are changed
    service-NAME-N.live     one a process, N its start in nanoseconds: its limit of descriptors

A process lives as long as its lock on its file, which the system releases with it: a file that a killed one
has left says nothing, and is removed. What can't be read or written costs one log line, and the sidecar goes
on alone.
"""

from __future__ import annotations

import fcntl
import json
import os
import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple
from urllib.parse import quote

from wheatring.common import log
from wheatring.daemon.lifecycle.operator_orders import OperatorOrders, OrdersError, parse_orders


class OtherProcess(NamedTuple):
    """Another process of this sidecar that lives: its start, which is its name too, and its limit."""

    started_ns: int  # nanoseconds of the machine's clock
    descriptor_limit: int


class HandoverFolder:
    """What the processes of one sidecar share in a folder.

    A process is known by its start in nanoseconds: process ids say nothing, each may have a name space of its
    own.
    """

    def __init__(self, folder: str, name: str, since: int) -> None:
        self.folder = Path(folder)
        self.name = name
        self.started_ns = since
        quoted = quote(name, safe="")
        self.orders_file = self.folder / f"service-{quoted}.orders"
        self.lock_file = self.folder / f"service-{quoted}.lock"
        self.own_file = self.folder / f"service-{quoted}-{since}.live"
        self._live = re.compile(re.escape(f"service-{quoted}-") + r"([0-9]+)\.live")
        self._own = -1
        self._seen: tuple[int, int] | None = None  # which file of orders was read last
        self._failed = False

    # Orders

    def changed_orders(self) -> OperatorOrders | None:
        """Return the orders, where they were replaced since they were last read or written here."""
        try:
            found = self.orders_file.stat()
            mark = (found.st_ino, found.st_mtime_ns)
            if mark == self._seen:
                return None
            self._seen = mark
            return parse_orders(self.orders_file.read_text(encoding="utf-8"), self.name)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as bad:
            log.line("orders-unread", why=str(bad), file=self.orders_file)
            return None

    def change(
        self, edit: Callable[[OperatorOrders], OperatorOrders], current: OperatorOrders
    ) -> OperatorOrders:
        """Change what is in force, from the file's orders or, where there are none, the current ones."""
        try:
            with self._locked():
                orders = edit(self._read() or current)
                self._replace(self.orders_file, orders.to_json(self.name))
                found = self.orders_file.stat()
                self._seen = (found.st_ino, found.st_mtime_ns)
                return orders
        except OSError as bad:
            self._warn(bad)
            return edit(current)

    def _read(self) -> OperatorOrders | None:
        with suppress(OSError, OrdersError, UnicodeDecodeError):
            return parse_orders(self.orders_file.read_text(encoding="utf-8"), self.name)
        return None

    # Who lives

    def state_limit(self, limit: Callable[[bool, list[int]], int]) -> tuple[int, list[OtherProcess]]:
        """State this process's limit of descriptors, and return it with the other processes that live.

        `limit` finds it from whether this process is the newest and from the others' limits, under one lock.
        """
        try:
            with self._locked():
                others = self._others()
                newest = all(other.started_ns < self.started_ns for other in others)
                stated = limit(newest, [other.descriptor_limit for other in others])
                self._state(stated)
                return stated, others
        except OSError as bad:
            self._warn(bad)
            return limit(True, []), []

    def is_only_process(self) -> bool:
        """Whether no other process seems to be here, so that there is nothing to agree on."""
        try:
            return not any(path != self.own_file for path in self._files())
        except OSError:
            return True

    def leave(self) -> None:
        """Remove this process's file, as it ends."""
        with suppress(OSError):
            self.own_file.unlink()
        if self._own >= 0:
            os.close(self._own)
            self._own = -1

    def _files(self) -> list[Path]:
        return sorted(p for p in self.folder.iterdir() if self._live.fullmatch(p.name))

    def _others(self) -> list[OtherProcess]:
        found = []
        for path in self._files():
            if path == self.own_file:
                continue
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                with suppress(BlockingIOError):
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    path.unlink()  # its process is gone
                    continue
                told = json.loads(os.read(file, 4096))
                match = self._live.fullmatch(path.name)
                assert match is not None
                found.append(OtherProcess(int(match[1]), int(told["ceiling"])))
            except (ValueError, TypeError, KeyError) as bad:
                log.line("other-unread", why=str(bad), file=path)
            finally:
                os.close(file)
        return found

    def _state(self, descriptor_limit: int) -> None:
        if self._own < 0:
            flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
            self._own = os.open(self.own_file, flags, 0o600)
            fcntl.flock(self._own, fcntl.LOCK_EX | fcntl.LOCK_NB)
        text = json.dumps({"ceiling": descriptor_limit}).encode()
        # One write of one length: whoever reads meanwhile, under the lock or not, reads all of it.
        os.pwrite(self._own, text.ljust(64), 0)

    # Files

    @contextmanager
    def _locked(self) -> Iterator[None]:
        file = os.open(self.lock_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX)
            yield
        finally:
            os.close(file)

    def _replace(self, path: Path, text: str) -> None:
        whole = path.with_name(f"{path.name}.{self.started_ns}")
        whole.write_text(text, encoding="utf-8")
        whole.replace(path)

    def _warn(self, bad: OSError) -> None:
        if not self._failed:
            self._failed = True
            log.line("handover-off", warning=bad.strerror, folder=self.folder)
