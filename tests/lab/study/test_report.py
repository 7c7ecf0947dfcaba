"""Pages: whole in themselves, with every part, and whatever a run holds can be drawn."""

from __future__ import annotations

import re
from html.parser import HTMLParser
from pathlib import Path

import pytest

from tests.lab.study.fake_runner import RUN, run_spec, settings_with
from wheatring.lab.outcome import Outcome, SecondFigures
from wheatring.lab.study import store
from wheatring.lab.study.report import day, several
from wheatring.lab.study.runs import RunResult, function

VOID = {"meta", "path", "use", "rect"}


class Page(HTMLParser):
    """Reads a page, holding that it is well formed and refers to nothing outside."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.open: list[str] = []
        self.heads: list[str] = []
        self.count: dict[str, int] = {}
        self.feed(text)
        assert not self.open
        assert not re.search(r"https?:|url\((?!['\"]?#)|@import|<script", text)

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.count[tag] = self.count.get(tag, 0) + 1
        assert tag not in ("img", "link", "script", "iframe", "image")
        for name, value in attrs:
            assert name != "src" and not (name.endswith("href") and not (value or "").startswith("#"))
        if tag not in VOID:
            self.open.append(tag)

    def handle_startendtag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        if tag not in VOID:
            super().handle_startendtag(tag, attrs)

    def handle_endtag(self, tag: str) -> None:
        if tag not in VOID:
            assert self.open.pop() == tag

    def handle_data(self, data: str) -> None:
        if self.open and self.open[-1] in ("h1", "h2"):
            self.heads.append(data)


def test_the_page_of_a_run_has_every_part_and_is_the_same_each_time() -> None:
    outcome = function(RUN)(run_spec(3, settings_with(broken=3)))
    text = day.of_run(outcome, "wheatring lab run calm --seed 3")
    page = Page(text)
    assert page.heads == [
        "calm, seed 3, wire grain", "Breaches (1)", "Figures", "By class", "How requests ended",
        "Latency over time", "Tries and attempts", "Attempts a request", "Refusals", "Latency by percentile",
        "Load by node", "What happened", "Play it again",
    ]  # fmt: skip
    assert page.count["svg"] == 7
    assert "slow &lt;n3&gt; by 4" in text and "<n3>" not in text
    assert "wheatring lab run calm --seed 3" in text
    assert day.of_run(outcome, "wheatring lab run calm --seed 3") == text


@pytest.mark.parametrize("seconds", [0, 1, 7200])
def test_runs_of_any_length_can_be_drawn(seconds: int) -> None:
    """Nothing asked, nothing served, or two hours of it."""
    empty = Outcome("none", 1, "wire", 0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, float(seconds), 0.0)
    empty.seconds = [SecondFigures(asked=at % 2, failed=at % 2) for at in range(seconds)]
    empty.happened = [(at / 10, "load") for at in range(0, seconds * 10, 600)]
    text = day.of_run(empty, "")
    assert len(Page(text).heads) >= 2 and len(text) < 2_000_000


def test_the_page_of_a_set_names_what_differs_the_worst_and_the_lost(tmp_path: Path) -> None:
    with store.opened(tmp_path / "runs.sqlite") as kept:
        for name in ("calm", "rough"):
            for seed in range(1, 31):
                for gain in (0, 1):
                    made = run_spec(seed, settings_with(gain=gain / 10, broken=7), name)
                    kept.keep(made, RunResult("done", store.encoded(function(RUN)(made))))
        kept.keep(run_spec(99, scenario="rough"), RunResult("hung", why="not over after 5 s"))
        rows = kept.rows()
        assert len(kept.rows(scenario="calm", seed=3)) == 2
    text = several.of_set(rows, "All runs")
    page = Page(text)
    assert page.heads == [
        "All runs", "Breaches", "Figures", "G by scenario", "Worst runs",
        "Runs that did not come to their end",
    ]  # fmt: skip
    worst = min((row for row in rows if row.g is not None), key=lambda row: row.g or 0.0)
    assert f"wheatring lab run {worst.scenario} --seed {worst.seed} --grain wire" in text
    assert "rough, broken=7, gain=0.1" in text and "not over after 5 s" in text
    assert "4 breaches in 4 runs" in text
