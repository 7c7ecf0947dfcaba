"""The invariant checker of the lab: each event is held to the rules as it is noted, and figures are kept.

`InvariantChecker` implements the lab's `EventRecorder`; `Trace` writes or hashes every event. Each rule has a
module of its own: `answers` (the first, and what is served), `duplicates` (the second), `drains` (the third),
`warm_up` (the fourth), `bounds`; `links` says what the rules allow for links. May import the lab's `plan`,
`event_recorder` and `outcome`, of the models only the pure `cold`, and nothing of attachments or the sidecar.
"""

from wheatring.lab.rules.breaches import MisuseError
from wheatring.lab.rules.invariant_checker import InvariantChecker
from wheatring.lab.rules.trace import Trace, replay_line

__all__ = ["InvariantChecker", "MisuseError", "Trace", "replay_line"]
