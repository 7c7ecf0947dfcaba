"""The invariant checker of the lab: each event is held to the rules as it is noted, and figures are kept.

`Ledger` implements the lab's `Book`; `Trace` writes or hashes every event. Each rule has a module of its own:
`answers` (the first, and what is served), `duplicates` (the second), `drains` (the third), `cold` (the
fourth), `bounds`; `links` says what the rules allow for links. May import the lab's `plan`, `book` and
`outcome`, of the models only the pure `cold`, and nothing of attachments or the sidecar.
"""

from wheatring.lab.rules.breaches import MisuseError
from wheatring.lab.rules.ledger import Ledger
from wheatring.lab.rules.trace import Trace, replay_line

__all__ = ["Ledger", "MisuseError", "Trace", "replay_line"]
