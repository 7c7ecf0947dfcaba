"""Report pages: self-contained and complete, for runs of any length and content."""

from __future__ import annotations

import re
from html.parser import HTMLParser
from pathlib import Path

import pytest

from tests.lab.study.fake_runner import RUN, run_spec, settings_with
from wheatring.lab.outcome import Outcome, SecondFigures
from wheatring.lab.study import store
from wheatring.lab.study.report import day, several
from wheatring.lab.study.runs import RunResult, load_run

VOID_ELEMENTS = {"meta", "path", "use", "rect"}


class Page(HTMLParser):
    """Parses a page, and checks that it is well formed and has no external references."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.open_tags: list[str] = []
        self.headings: list[str] = []
        self.tag_counts: dict[str, int] = {}
        self.feed(text)
        assert not self.open_tags
        assert not re.search(r"https?:|url\((?!['\"]?#)|@import|<script", text)

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tag_counts[tag] = self.tag_counts.get(tag, 0) + 1
        assert tag not in ("img", "link", "script", "iframe", "image")
        for name, value in attrs:
            assert name != "src" and not (name.endswith("href") and not (value or "").startswith("#"))
        if tag not in VOID_ELEMENTS:
            self.open_tags.append(tag)

    def handle_startendtag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        if tag not in VOID_ELEMENTS:
            super().handle_startendtag(tag, attrs)

    def handle_endtag(self, tag: str) -> None:
        if tag not in VOID_ELEMENTS:
            assert self.open_tags.pop() == tag

    def handle_data(self, data: str) -> None:
        if self.open_tags and self.open_tags[-1] in ("h1", "h2"):
            self.headings.append(data)


def test_the_page_of_a_run_is_complete_and_reproducible() -> None:
    outcome = load_run(RUN)(run_spec(3, settings_with(broken=3)))
    text = day.run_page(outcome, "wheatring lab run calm --seed 3")
    page = Page(text)
    assert page.headings == [
        "calm, seed 3, wire grain", "Breaches (1)", "Figures", "By class", "How requests ended",
        "Latency over time", "Tries and attempts", "Attempts a request", "Refusals", "Latency by percentile",
        "Load by node", "What happened", "Play it again",
    ]  # fmt: skip
    assert page.tag_counts["svg"] == 7
    assert "slow &lt;n3&gt; by 4" in text and "<n3>" not in text
    assert "wheatring lab run calm --seed 3" in text
    assert day.run_page(outcome, "wheatring lab run calm --seed 3") == text


@pytest.mark.parametrize("seconds", [0, 1, 7200])
def test_runs_of_any_length_can_be_drawn(seconds: int) -> None:
    """A run without requests, without served requests, or of two hours."""
    empty = Outcome("none", 1, "wire", 0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, float(seconds), 0.0)
    empty.seconds = [SecondFigures(asked=at % 2, failed=at % 2) for at in range(seconds)]
    empty.happened = [(at / 10, "load") for at in range(0, seconds * 10, 600)]
    text = day.run_page(empty, "")
    assert len(Page(text).headings) >= 2 and len(text) < 2_000_000


def test_the_page_of_a_set_lists_differing_settings_worst_and_lost_runs(tmp_path: Path) -> None:
    with store.open_store(tmp_path / "runs.sqlite") as results:
        for name in ("calm", "rough"):
            for seed in range(1, 31):
                for gain in (0, 1):
                    spec = run_spec(seed, settings_with(gain=gain / 10, broken=7), name)
                    results.save(spec, RunResult("done", store.encode_outcome(load_run(RUN)(spec))))
        results.save(run_spec(99, scenario="rough"), RunResult("hung", why="not over after 5 s"))
        rows = results.rows()
        assert len(results.rows(scenario="calm", seed=3)) == 2
    text = several.run_set_page(rows, "All runs")
    page = Page(text)
    assert page.headings == [
        "All runs", "Breaches", "Figures", "G by scenario", "Worst runs",
        "Runs that did not come to their end",
    ]  # fmt: skip
    worst = min((row for row in rows if row.g is not None), key=lambda row: row.g or 0.0)
    assert f"wheatring lab run {worst.scenario} --seed {worst.seed} --grain wire" in text
    assert "rough, broken=7, gain=0.1" in text and "not over after 5 s" in text
    assert "4 breaches in 4 runs" in text
