"""The code that decides and serves contains no names of deployments, which only settings may contain."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
# Names of the operators' deployment, without common words (stock, basket, browse).
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
    """Return the names of classes, tiers, kinds and zones of our deployments."""
    found = set(DEPLOYMENT_NAMES)
    for path in (ROOT / "deploy" / "sites").rglob("*.toml"):
        site = tomllib.loads(path.read_text(encoding="utf-8"))
        found |= {site["name"], *site["net"]["zones"], *(one["name"] for one in site["class"])}
        for tier in site["tier"]:
            found |= {tier["name"], *(kind["name"] for kind in tier["kind"])}
    return found


def test_the_code_contains_no_class_tier_kind_or_zone_name() -> None:
    """The lab and its commands are excluded.

    The service path never imports them, and their load generator and benchmark use an example's class by
    default.
    """
    files = list((ROOT / "wheatring").rglob("*.py"))
    files = [path for path in files if "lab" not in path.parts and not path.name.startswith("lab")]
    files += [ROOT / "deploy" / "balancer.toml", ROOT / "deploy" / "operator.properties"]
    common = {"quote", "chart", "tariff"}  # names in one deployment that are also common words
    any_of = "|".join(re.escape(name) for name in sorted(names() - common))
    word = re.compile(rf"(?<![\w.-])(?:{any_of})(?![\w-])")
    found = [(path.name, word.findall(path.read_text(encoding="utf-8"))) for path in files]
    assert [one for one in found if one[1]] == []
    assert word.search('if name == "menu-view":') and word.search('"pay.charge-card"')
