"""Nothing that decides or serves knows a deployment by its names: they come from the settings alone."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
# The operators' own, as their papers have them. Common words of these (stock, basket, browse) are left out.
DEPLOYMENT_NAMES = {
    "menu-view",
    "place-order",
    "storefront",
    "naas",
    "npc",
    "plan-save",
    "box-add",
    "member-api",
}


def names() -> set[str]:
    """Classes, tiers, kinds and zones of our own deployments."""
    found = set(DEPLOYMENT_NAMES)
    for path in (ROOT / "deploy" / "sites").rglob("*.toml"):
        site = tomllib.loads(path.read_text(encoding="utf-8"))
        found |= {site["name"], *site["net"]["zones"], *(one["name"] for one in site["class"])}
        for tier in site["tier"]:
            found |= {tier["name"], *(kind["name"] for kind in tier["kind"])}
    return found


def test_no_class_tier_kind_or_zone_is_known_by_name() -> None:
    """The lab and its commands are left out.

    The service path never imports them, and their load and bench have an example's class by default.
    """
    files = list((ROOT / "wheatring").rglob("*.py"))
    files = [path for path in files if "lab" not in path.parts and not path.name.startswith("lab")]
    files += [ROOT / "deploy" / "balancer.toml", ROOT / "deploy" / "operator.properties"]
    common = {"quote", "chart", "tariff"}  # words of one deployment that are words of the language too
    any_of = "|".join(re.escape(name) for name in sorted(names() - common))
    word = re.compile(rf"(?<![\w.-])(?:{any_of})(?![\w-])")
    found = [(path.name, word.findall(path.read_text(encoding="utf-8"))) for path in files]
    assert [one for one in found if one[1]] == []
    assert word.search('if name == "menu-view":') and word.search('"pay.charge-card"')
