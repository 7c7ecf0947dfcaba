"""What two processes of one sidecar hand over by files: operators' orders and descriptor limits."""

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
def test_a_torn_or_foreign_file_of_orders_is_ignored(text: str, tmp_path: Path) -> None:
    with pytest.raises(OrdersError):
        parse_orders(text, "n")
    folder = HandoverFolder(str(tmp_path), "n", 1)
    folder.orders_file.write_text(text)
    assert folder.changed_orders() is None
    assert folder.change(
        lambda o: OperatorOrders(o.offline | {"b"}), OperatorOrders(frozenset("a"))
    ).offline == {"a", "b"}


def test_orders_reach_the_other_process_once_and_completely(tmp_path: Path) -> None:
    one, two = HandoverFolder(str(tmp_path), "n 1/x", 1), HandoverFolder(str(tmp_path), "n 1/x", 2)
    one.change(lambda o: OperatorOrders(o.offline | {"a", "ü"}, True), OperatorOrders())
    assert two.changed_orders() == OperatorOrders(frozenset({"a", "ü"}), True)
    assert two.changed_orders() is None and one.changed_orders() is None
    two.change(lambda o: OperatorOrders(o.offline - {"a"}, o.out_of_service), OperatorOrders())
    assert one.changed_orders() == OperatorOrders(frozenset({"ü"}), True)


def test_only_a_process_that_holds_its_lock_counts_as_alive(tmp_path: Path) -> None:
    one, two = HandoverFolder(str(tmp_path), "n", 1), HandoverFolder(str(tmp_path), "n", 2)
    assert one.state_limit(lambda newest, _others: 9 if newest else 0) == (9, [])
    assert not two.is_only_process()
    stated, others = two.state_limit(lambda newest, others: others[0] if newest else 0)
    assert (stated, [other.started_ns for other in others]) == (9, [1])
    assert one.state_limit(lambda newest, _others: int(newest))[0] == 0  # the older one now
    os.close(two._own)  # killed: its file stays, its lock does not
    assert two.own_file.exists()
    assert one.state_limit(lambda _newest, others: len(others)) == (0, [])
    assert not two.own_file.exists() and one.is_only_process()
    one.leave()
    assert not one.own_file.exists()


def test_a_process_whose_folder_can_not_be_written_counts_as_alone(tmp_path: Path) -> None:
    folder = HandoverFolder(str(tmp_path / "none"), "n", 1)
    assert folder.change(lambda o: OperatorOrders(o.offline | {"a"}), OperatorOrders()) == OperatorOrders(
        frozenset("a")
    )
    assert folder.state_limit(lambda _newest, _others: 7) == (7, [])
    assert folder.is_only_process() and folder.changed_orders() is None
