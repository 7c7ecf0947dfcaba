"""Writes pages, tables and figures as HTML. Escapes all texts that callers pass in."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from html import escape

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #1f2933; margin: 2rem auto; max-width: 62rem;
  padding: 0 1rem }
h1 { font-size: 1.6rem; margin: 0 0 .3rem } h2 { font-size: 1.1rem; margin: 2.4rem 0 .6rem }
p.line { font-size: 1.05rem; margin: 0 0 1.4rem; color: #3e4c59 }
p.line.bad { color: #b3261e; font-weight: 600 }
table { border-collapse: collapse; font-size: .9rem }
td, th { padding: .25rem .9rem .25rem 0; text-align: left;
  vertical-align: top; border-bottom: 1px solid #e4e7eb } th { color: #52606d; font-weight: 600 }
td.n, th.n { text-align: right; font-variant-numeric: tabular-nums }
.scroll { max-height: 24rem; overflow: auto }
figure { margin: 2.2rem 0 0 } figure svg { width: 100%; height: auto; display: block }
figcaption { color: #52606d; font-size: .88rem; margin-top: .3rem }
code { font: .85rem ui-monospace, monospace; background: #f5f7fa; padding: .1rem .3rem;
  overflow-wrap: anywhere }
"""

Cell = str | int | float | None


class Code(str):
    """A table cell that shows a command."""


def format_cell(value: Cell) -> str:
    """Return the text of a cell."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}" if abs(value) < 100 else f"{value:,.0f}"
    return f"{value:,}" if isinstance(value, int) else value


def _cell(value: Cell) -> str:
    if isinstance(value, Code):
        return f"<td><code>{escape(value)}</code></td>"
    kind = "" if isinstance(value, str) else ' class="n"'
    return f"<td{kind}>{escape(format_cell(value))}</td>"


def table(head: Sequence[str], rows: Iterable[Sequence[Cell]]) -> str:
    """Return a table. A column is right-aligned if its first cell is not a string."""
    lines = [*rows]
    first = lines[0] if lines else ()
    right = [not isinstance(value, str) for value in first] or [False] * len(head)
    names = "".join(
        f'<th class="n">{escape(name)}</th>' if number else f"<th>{escape(name)}</th>"
        for name, number in zip(head, right, strict=True)
    )
    body = "".join(f"<tr>{''.join(map(_cell, line))}</tr>\n" for line in lines)
    return (
        f'<div class="scroll"><table><thead><tr>{names}</tr></thead>\n<tbody>{body}</tbody></table></div>\n'
    )


def section(title: str, inner: str) -> str:
    """Return a section with a title."""
    return f"<section><h2>{escape(title)}</h2>\n{inner}</section>\n"


def figure(title: str, svg: str, caption: str) -> str:
    """Return a plot with its title and caption."""
    return f"<figure><h2>{escape(title)}</h2>\n{svg}\n<figcaption>{escape(caption)}</figcaption></figure>\n"


def command(line: str) -> str:
    """Return a paragraph with a command line."""
    return f"<p><code>{escape(line)}</code></p>\n"


def page(title: str, summary: str, parts: Iterable[str], *, bad: bool = False) -> str:
    """Return a complete page; `bad` highlights its summary."""
    name = escape(title)
    kind = "line bad" if bad else "line"
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width, initial-scale=1">\n'
        f"<title>{name}</title><style>{STYLE}</style></head>\n<body><h1>{name}</h1>\n"
        f'<p class="{kind}">{escape(summary)}</p>\n{"".join(parts)}</body></html>\n'
    )
