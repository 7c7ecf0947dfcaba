"""The lab's invariant checker: checks each recorded event against the rules, and computes the figures.

`InvariantChecker` implements the lab's `EventRecorder`; `Trace` writes or hashes every event. Each rule has a
module of its own: `answers` (the first rule, and the origin of served answers), `duplicates` (the second),
`drains` (the third), `warm_up` (the fourth) and `bounds`. `links` computes the link delays and partitions for
which the rules make allowance. This package may import the lab's `plan`, `event_recorder` and `outcome`, of
the models only the pure `slow_start`, and nothing of attachments or the sidecar.
"""

from wheatring.lab.rules.breaches import MisuseError
from wheatring.lab.rules.invariant_checker import InvariantChecker
from wheatring.lab.rules.trace import Trace, replay_line

__all__ = ["InvariantChecker", "MisuseError", "Trace", "replay_line"]
