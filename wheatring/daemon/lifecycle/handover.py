"""The files that the processes of one sidecar, an older and a newer one, share during an upgrade.

    service-NAME.orders     the operators' orders, replaced atomically
    service-NAME.lock       locked while orders or limits are changed
    service-NAME-N.live     one per process that started at N (in nanoseconds): its descriptor limit

A process holds a lock on its own file for as long as it runs, and the system releases it when the process
ends, so the file of a killed process is recognized and removed. If a file can't be read or written, this is
logged and the sidecar continues as if it were the only process.
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
    """Another running process of this sidecar: its start, which identifies it, and its descriptor limit."""

    started_ns: int  # nanoseconds of the machine's clock
    descriptor_limit: int


class HandoverFolder:
    """The folder with the files that the processes of one sidecar share.

    A process is identified by its start time in nanoseconds: process ids are ambiguous, as each process may
    run in its own PID namespace.
    """

    def __init__(self, folder: str, name: str, started_ns: int) -> None:
        self.folder = Path(folder)
        self.name = name
        self.started_ns = started_ns
        quoted = quote(name, safe="")
        self.orders_file = self.folder / f"service-{quoted}.orders"
        self.lock_file = self.folder / f"service-{quoted}.lock"
        self.own_file = self.folder / f"service-{quoted}-{started_ns}.live"
        self._process_file_pattern = re.compile(re.escape(f"service-{quoted}-") + r"([0-9]+)\.live")
        self._own_descriptor = -1
        self._orders_version: tuple[int, int] | None = (
            None  # inode and mtime of the orders file last read or written
        )
        self._has_warned = False

    # Orders

    def changed_orders(self) -> OperatorOrders | None:
        """Return the orders if they were replaced since this process last read or wrote them, else None."""
        try:
            status = self.orders_file.stat()
            version = (status.st_ino, status.st_mtime_ns)
            if version == self._orders_version:
                return None
            self._orders_version = version
            return parse_orders(self.orders_file.read_text(encoding="utf-8"), self.name)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log.line("orders-unread", why=str(error), file=self.orders_file)
            return None

    def change(
        self, edit: Callable[[OperatorOrders], OperatorOrders], current: OperatorOrders
    ) -> OperatorOrders:
        """Apply `edit` to the orders in the file, or to `current` if there are none, and store the result."""
        try:
            with self._locked():
                orders = edit(self._read_orders() or current)
                self._replace_file(self.orders_file, orders.to_json(self.name))
                status = self.orders_file.stat()
                self._orders_version = (status.st_ino, status.st_mtime_ns)
                return orders
        except OSError as error:
            self._log_failure(error)
            return edit(current)

    def _read_orders(self) -> OperatorOrders | None:
        with suppress(OSError, OrdersError, UnicodeDecodeError):
            return parse_orders(self.orders_file.read_text(encoding="utf-8"), self.name)
        return None

    # Running processes

    def publish_limit(self, limit: Callable[[bool, list[int]], int]) -> tuple[int, list[OtherProcess]]:
        """Publish this process's descriptor limit; return it and the other running processes.

        `limit` computes it, under the lock, from whether this process is the newest and the others' limits.
        """
        try:
            with self._locked():
                others = self._other_processes()
                is_newest = all(other.started_ns < self.started_ns for other in others)
                own_limit = limit(is_newest, [other.descriptor_limit for other in others])
                self._publish_limit(own_limit)
                return own_limit, others
        except OSError as error:
            self._log_failure(error)
            return limit(True, []), []

    def is_only_process(self) -> bool:
        """Whether there is no file of another process, so that the limit needs no coordination."""
        try:
            return not any(path != self.own_file for path in self._process_files())
        except OSError:
            return True

    def leave(self) -> None:
        """Remove this process's file at its end."""
        with suppress(OSError):
            self.own_file.unlink()
        if self._own_descriptor >= 0:
            os.close(self._own_descriptor)
            self._own_descriptor = -1

    def _process_files(self) -> list[Path]:
        return sorted(p for p in self.folder.iterdir() if self._process_file_pattern.fullmatch(p.name))

    def _other_processes(self) -> list[OtherProcess]:
        others = []
        for path in self._process_files():
            if path == self.own_file:
                continue
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                with suppress(BlockingIOError):
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    path.unlink()  # its process has ended
                    continue
                content = json.loads(os.read(descriptor, 4096))
                match = self._process_file_pattern.fullmatch(path.name)
                assert match is not None
                others.append(OtherProcess(int(match[1]), int(content["ceiling"])))
            except (ValueError, TypeError, KeyError) as error:
                log.line("other-unread", why=str(error), file=path)
            finally:
                os.close(descriptor)
        return others

    def _publish_limit(self, descriptor_limit: int) -> None:
        if self._own_descriptor < 0:
            flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
            self._own_descriptor = os.open(self.own_file, flags, 0o600)
            fcntl.flock(self._own_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        text = json.dumps({"ceiling": descriptor_limit}).encode()
        # A single write of fixed length, so that a concurrent reader, locked or not, sees all of it.
        os.pwrite(self._own_descriptor, text.ljust(64), 0)

    # Files

    @contextmanager
    def _locked(self) -> Iterator[None]:
        descriptor = os.open(self.lock_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield
        finally:
            os.close(descriptor)

    def _replace_file(self, path: Path, text: str) -> None:
        temporary = path.with_name(f"{path.name}.{self.started_ns}")
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(path)

    def _log_failure(self, error: OSError) -> None:
        if not self._has_warned:
            self._has_warned = True
            log.line("handover-off", warning=error.strerror, folder=self.folder)
