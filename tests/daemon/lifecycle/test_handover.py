"""The files by which two processes of one sidecar share operators' orders and descriptor limits."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from wheatring.daemon.lifecycle.handover import HandoverFolder
from wheatring.daemon.lifecycle.operator_orders import OperatorOrders, OrdersError, parse_orders


@pytest.mark.parametrize(
    "text",
    [
        "", "{", "[]", '{"form": 2}', '{"form": 1, "name": "other", "offline": [], "out": false}',
        '{"form": 1, "name": "n", "offline": [1], "out": false}', '{"form": 1, "name": "n", "offline": []}',
    ],
)  # fmt: skip
def test_an_invalid_or_foreign_orders_file_is_ignored(text: str, tmp_path: Path) -> None:
    with pytest.raises(OrdersError):
        parse_orders(text, "n")
    folder = HandoverFolder(str(tmp_path), "n", 1)
    folder.orders_file.write_text(text)
    assert folder.changed_orders() is None
    assert folder.change(
        lambda o: OperatorOrders(o.offline | {"b"}), OperatorOrders(frozenset("a"))
    ).offline == {"a", "b"}


def test_the_other_process_reads_changed_orders_exactly_once(tmp_path: Path) -> None:
    first, second = HandoverFolder(str(tmp_path), "n 1/x", 1), HandoverFolder(str(tmp_path), "n 1/x", 2)
    first.change(lambda o: OperatorOrders(o.offline | {"a", "ü"}, True), OperatorOrders())
    assert second.changed_orders() == OperatorOrders(frozenset({"a", "ü"}), True)
    assert second.changed_orders() is None and first.changed_orders() is None
    second.change(lambda o: OperatorOrders(o.offline - {"a"}, o.out_of_service), OperatorOrders())
    assert first.changed_orders() == OperatorOrders(frozenset({"ü"}), True)


def test_only_a_process_that_holds_its_lock_counts_as_running(tmp_path: Path) -> None:
    first, second = HandoverFolder(str(tmp_path), "n", 1), HandoverFolder(str(tmp_path), "n", 2)
    assert first.publish_limit(lambda is_newest, _others: 9 if is_newest else 0) == (9, [])
    assert not second.is_only_process()
    own_limit, others = second.publish_limit(lambda is_newest, others: others[0] if is_newest else 0)
    assert (own_limit, [other.started_ns for other in others]) == (9, [1])
    assert (
        first.publish_limit(lambda is_newest, _others: int(is_newest))[0] == 0
    )  # it is the older process now
    os.close(second._own_descriptor)  # as when it is killed: its file remains, its lock is released
    assert second.own_file.exists()
    assert first.publish_limit(lambda _is_newest, others: len(others)) == (0, [])
    assert not second.own_file.exists() and first.is_only_process()
    first.leave()
    assert not first.own_file.exists()


def test_a_process_whose_folder_is_not_writable_runs_as_the_only_one(tmp_path: Path) -> None:
    folder = HandoverFolder(str(tmp_path / "none"), "n", 1)
    assert folder.change(lambda o: OperatorOrders(o.offline | {"a"}), OperatorOrders()) == OperatorOrders(
        frozenset("a")
    )
    assert folder.publish_limit(lambda _is_newest, _others: 7) == (7, [])
    assert folder.is_only_process() and folder.changed_orders() is None
