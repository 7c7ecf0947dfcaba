"""A newer process reads the shared files that were written by version c345874."""

from __future__ import annotations

import fcntl
import os
import shutil
from pathlib import Path

from wheatring.daemon.lifecycle.handover import HandoverFolder
from wheatring.daemon.lifecycle.operator_orders import OperatorOrders

DATA = Path(__file__).parent / "data"
OLDER = 1700000000000000001  # the start of the process that wrote them, in nanoseconds


def open_folder(tmp_path: Path) -> HandoverFolder:
    shutil.copytree(DATA, tmp_path / "shared")
    return HandoverFolder(str(tmp_path / "shared"), "n 3", OLDER + 5)


def test_orders_of_the_previous_version_are_read(tmp_path: Path) -> None:
    assert open_folder(tmp_path).changed_orders() == OperatorOrders(frozenset({"n 1", "n2"}), True)


def test_orders_are_written_as_the_previous_version_writes_them(tmp_path: Path) -> None:
    folder = open_folder(tmp_path)
    before = folder.orders_file.read_bytes()
    folder.change(lambda orders: orders, OperatorOrders())
    assert folder.orders_file.read_bytes() == before


def test_the_descriptor_limit_of_a_running_process_of_the_previous_version_counts(tmp_path: Path) -> None:
    folder = open_folder(tmp_path)
    path = tmp_path / "shared" / f"service-n%203-{OLDER}.live"
    running = os.open(path, os.O_RDWR)
    try:
        fcntl.flock(running, fcntl.LOCK_EX)
        own_limit, others = folder.publish_limit(
            lambda is_newest, limits: 1024 - sum(limits) if is_newest else 0
        )
    finally:
        os.close(running)
    assert own_limit == 1024 - 812 and [(other.started_ns, other.descriptor_limit) for other in others] == [
        (OLDER, 812)
    ]


def test_files_left_by_a_dead_process_of_the_previous_version_do_not_count(tmp_path: Path) -> None:
    folder = open_folder(tmp_path)
    assert folder.publish_limit(lambda _is_newest, limits: 1024 - sum(limits)) == (1024, [])
