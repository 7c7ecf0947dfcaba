"""The acceptor of a register in isolation: promises, accepted entries and responses."""

from __future__ import annotations

from wheatring.fleet.lease.payloads import digest
from wheatring.fleet.lease.register_acceptor import RegisterAcceptor
from wheatring.fleet.lease.register_messages import AcceptorState, Entry, RegisterAccept, RegisterPrepare
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.lab.agreement.register_orders import OrderRun

LEADER = ("v1", 1)


def acceptor(order: OrderRun) -> RegisterAcceptor:
    return order.registers["v0"].acceptor


def prepare(order: OrderRun, epoch: int) -> RegisterPrepare:
    return RegisterPrepare(acceptor(order).name, epoch, order.voters.digest)


def accept(order: OrderRun, epoch: int, payload: bytes) -> RegisterAccept:
    entry = Entry(1, epoch, digest(payload), len(payload), payload)
    return RegisterAccept(acceptor(order).name, epoch, order.voters.digest, entry)


def response_to(order: OrderRun, message: RegisterPrepare | RegisterAccept) -> AcceptorState:
    ((address, state),) = acceptor(order).handle_leader_request(order.at, LEADER, message)
    assert address == LEADER and isinstance(state, AcceptorState)
    return state


def test_entry_of_an_epoch_below_the_promised_one_is_not_accepted() -> None:
    order = OrderRun(1, ReplicatedRegister)
    assert response_to(order, prepare(order, 5)).promised_epoch == 5
    state = response_to(order, accept(order, 4, b"late"))
    assert (state.promised_epoch, state.entry.number) == (5, 0)
    assert response_to(order, prepare(order, 3)).promised_epoch == 5


def test_accepted_entry_is_reported_to_the_leader_of_a_later_epoch() -> None:
    order = OrderRun(1, ReplicatedRegister)
    assert response_to(order, accept(order, 4, b"first")).entry.digest == digest(b"first")
    state = response_to(order, prepare(order, 6))
    assert (state.promised_epoch, state.entry.epoch, state.entry.digest) == (6, 4, digest(b"first"))


def test_recovering_acceptor_promises_and_accepts_nothing() -> None:
    order = OrderRun(1, ReplicatedRegister)
    acceptor(order).has_recovered = False
    state = response_to(order, accept(order, 4, b"first"))
    assert state.recovering_seconds > 0 and (state.promised_epoch, state.entry.number) == (0, 0)
    assert acceptor(order).accepted.number == 0


def test_leader_with_another_voter_set_gets_no_response() -> None:
    order = OrderRun(1, ReplicatedRegister)
    message = RegisterPrepare(acceptor(order).name, 5, order.voters.digest + 1)
    assert acceptor(order).handle_leader_request(order.at, LEADER, message) == []
