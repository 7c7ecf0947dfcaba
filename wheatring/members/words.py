"""What members say to each other. Every word carries rumours along."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")


class Who(NamedTuple):
    """One sidecar, as it says of itself. `number` of its tier; `votes` is the digest of its voters' names."""

    name: str
    host: str
    port: int
    number: int = 0
    tier: int = 0
    zone: str = ""
    votes: int = 0


class Rumour(NamedTuple):
    """What is said of a member. A higher incarnation, which only the member itself makes, overrules a lower
    one; of the same, left and dead overrule suspect, and suspect alive.
    """

    who: Who
    incarnation: int
    state: int = ALIVE
    source: str = ""  # suspect: who says so

    @property
    def size(self) -> int:
        """Bytes that it takes, reckoned high."""
        return 40 + len(self.who.name) + len(self.who.host) + len(self.who.zone) + len(self.source)


class News(NamedTuple):
    """A small fact that all are to know. Of one key the highest version holds."""

    key: str
    version: int
    value: str

    @property
    def size(self) -> int:
        return 12 + len(self.key) + len(self.value)


class Word(Struct, frozen=True, array_like=True, tag_field="w"):
    seq: int
    rumours: tuple[Rumour, ...] = ()
    news: tuple[News, ...] = ()


class Ping(Word, frozen=True, tag="ping"):
    pass


class Ack(Word, frozen=True, tag="ack"):
    pass


class Indirect(Word, frozen=True, tag="indirect"):
    """Ping that one for me, and tell me: an ack if it answers, a nack if it does not in good time."""

    target: str = ""


class Nack(Word, frozen=True, tag="nack"):
    pass


class Join(Word, frozen=True, tag="join"):
    """Tell me all that you know. Whoever joins says this, and members to each other from time to time."""


class Known(Word, frozen=True, tag="known"):
    """A part of the answer to it."""


MemberWord = Ping | Ack | Indirect | Nack | Join | Known


# The view: agreed, numbered, the same for all. See docs/design/fleet-agrees.md.


class Placed(NamedTuple):
    """A member of a view. `start` tells its process from earlier ones of its name."""

    who: Who
    start: int


class Stamp(NamedTuple):
    """Minted by a leader: of which epoch, the how-manieth, and by which entries it stood then."""

    epoch: int
    seq: int
    view: int = 0
    plan: int = 0


class Look(Word, frozen=True, tag="look"):
    """Are you there? `view`: the number of the view in which whoever says a word stands; 0: in none. `hurry`:
    somebody is missed, look at your own subjects now.
    """

    view: int = 0
    hurry: bool = False


class Here(Word, frozen=True, tag="here"):
    """I am. The newest stamp that I know, and how old it is at most, seconds."""

    view: int = 0
    stamp: Stamp = Stamp(0, 0)
    age: float = 0.0


class ViewWord(Struct, frozen=True, array_like=True, tag_field="w"):
    view: int


class Miss(ViewWord, frozen=True, tag="miss"):
    """To the others that watch it: that one does not answer me; look at it now."""

    name: str


class Report(ViewWord, frozen=True, tag="report"):
    """To the voters: all of my subjects that do not answer me, and for how long, seconds. My own name: I
    leave.
    """

    silent: tuple[tuple[str, float], ...] = ()


class Knock(ViewWord, frozen=True, tag="knock"):
    """To the voters: let me in."""

    me: Placed


class Wait(ViewWord, frozen=True, tag="wait"):
    """From the leader, to one that knocked: not yet, and why."""

    left: float
    why: str


class Doubt(ViewWord, frozen=True, tag="doubt"):
    """From the leader: look whether you reach these, before they go."""

    seq: int
    names: tuple[str, ...]


class Reached(ViewWord, frozen=True, tag="reached"):
    """I have been answered by these."""

    seq: int
    names: tuple[str, ...]


AnyViewWord = Look | Here | Miss | Report | Knock | Wait | Doubt | Reached
