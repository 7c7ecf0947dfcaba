"""Wire and file compatibility: recorded messages and plans are decoded and encoded unchanged."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from wheatring.fleet.lease.payloads import digest
from wheatring.fleet.peers.compiled_plan import compile_plan
from wheatring.fleet.plan.document import Plan, PlanHeader, PlanMatch, PlanRoute, PlanWindow, Ramp, Trial
from wheatring.fleet.plan.messages import (
    AnyPlanMessage,
    GroupedReason,
    PlanStored,
    ProposePlan,
    RolloutState,
    RolloutStatus,
    StorePlan,
)
from wheatring.fleet.plan.parser import encode_plan, parse_plan
from wheatring.fleet.skew.trials import AnswerChain

DATA = Path(__file__).parent / "data"
RECORDED: dict[str, str] = json.loads((DATA / "recorded_messages.json").read_text(encoding="utf-8"))
DIGEST = bytes(range(16))
REASON = GroupedReason("plan-not-whole", "does not hold the plan yet", "Push again.", ("n4", "n5"))
MESSAGES = {
    "plan-offer": ProposePlan(DIGEST, epoch=7, proposal_id=123456, size_bytes=2048, base_version=4),
    "plan-pushed": RolloutStatus(
        DIGEST, 7, 123456, RolloutState.REJECTED, stored=5, members=6, reasons=(REASON,), omitted=3
    ),
    "plan-pushed-short": RolloutStatus(DIGEST, 7, 123456, RolloutState.COMMITTED, version=9),
    "plan-hold": StorePlan(DIGEST, epoch=7, source=("127.0.0.1", 7000)),
    "plan-holds": PlanStored(DIGEST, epoch=7, incarnation=1700000000),
    "plan-holds-unreadable": PlanStored(
        DIGEST, 7, 1700000000, code="plan-format-unknown", what="format: 3", do="Upgrade."
    ),
}
PLAN = Plan(
    format=3,
    title="golden",
    routes=(
        PlanRoute(
            name="shop",
            match=PlanMatch(
                host="*.example.test",
                prefix="/shop",
                methods=("GET", "PUT"),
                headers=(PlanHeader(name="X-Team", exact="a"),),
            ),
            weights={"green": 1, "blue": 9},
            deadline=2.5,
            split_by="x-customer",
        ),
        PlanRoute(name="api", match=PlanMatch(path="/api"), weights={"blue": 1}, class_name="api"),
    ),
    windows=(
        PlanWindow(
            name="night",
            route="shop",
            weights={"green": 3, "blue": 1},
            start="2026-03-29T02:30:00",
            length=3600.0,
            rrule="FREQ=DAILY",
            zone="Europe/Berlin",
            except_=("2026-03-31T02:30:00",),
            priority=2,
            ramp=Ramp(steps=4, every=30.0),
            when_cut="hold",
        ),
    ),
    trials=(Trial(target="/shop/1", host="a.example.test", headers={"x-customer": "7"}, at=1774746000.0),),
)


def test_each_message_is_recorded() -> None:
    assert RECORDED.keys() == MESSAGES.keys()


@pytest.mark.parametrize("name", MESSAGES)
def test_a_recorded_message_is_decoded_and_encoded_alike(name: str) -> None:
    decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnyPlanMessage)
    recorded = bytes.fromhex(RECORDED[name])
    assert decoder.decode(recorded) == MESSAGES[name]
    assert msgspec.msgpack.encode(MESSAGES[name]) == recorded


def test_a_recorded_plan_file_is_read_and_written_alike() -> None:
    body = (DATA / "recorded_plan.json").read_bytes()
    assert parse_plan(body) == PLAN
    assert encode_plan(PLAN) == body
    assert digest(body).hex() == "449251b6c8d340cf0194b7f4173631a5"


def test_the_answers_to_the_trials_of_a_recorded_plan_have_the_recorded_digest() -> None:
    """Members of different versions compare these digests."""
    answers = AnswerChain(*compile_plan((DATA / "recorded_plan.json").read_bytes()), 20_700)
    assert answers.advance(10**6)
    assert (answers.count, answers.result.hex()) == (215, "2a30d0085e00deca2cc431f30a27cf9e")


def test_the_facts_of_a_recorded_plan_have_the_recorded_digest() -> None:
    answers = AnswerChain(*compile_plan((DATA / "recorded_plan.json").read_bytes()), 20_700)
    assert answers.advance(10**6)
    assert answers.facts_digest(answers.count).hex() == "db2587ae75a346ce073fe35fcecdd749"
