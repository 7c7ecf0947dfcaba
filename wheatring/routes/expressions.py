"""The expressions of routes, asked all at once. RE2 runs each in time linear in the path, whatever it says.

One RE2 set would answer in a single walk, but it has no way out where its states multiply: a thousand loose
expressions took 0.4 s for a path of 4 KB made for them. So RE2's filter finds the few whose fixed texts
occur in the path, and only those are run. Linear is still a product, of steps and bytes, about 5 ns
each where states multiply: so each factor has a limit here, and one path costs 0.1 s at the very worst.
"""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.routes.target import TurnedAway

MOST_STEPS = 256  # of one expression, in RE2's program
MOST_TOGETHER = 20 * 1024  # steps of all that one host may ask
MOST_PATH = 1024  # bytes of a path that expressions are asked about
MEMORY = 64 * 1024  # bytes that one may use to be quick; RE2 is slower, not wrong, once they are used up


class Expressions:
    """Expressions in their order. Raises ValueError for one that RE2 does not take, or that is too large."""

    def __init__(self, texts: Sequence[str]) -> None:
        try:
            import re2  # of the extra `routes`, and only where an expression is used
        except ImportError:
            raise ValueError(
                "expression: needs google-re2, which comes with the extra 'routes': 'wheatring[routes]'"
            ) from None
        options = re2.Options()
        options.max_mem = MEMORY
        options.log_errors = False
        options.never_capture = True
        options.encoding = re2.Options.Encoding.LATIN1
        each: list[int] = []
        self.filter = re2.Filter()
        for text in texts:
            try:
                # By itself first: with our ends around it, `a)|(b` would pass.
                re2.compile(text.encode(), options)
                whole = rb"\A(?:%s)\z" % text.encode()
                steps = re2.compile(whole, options).programsize
                self.filter.Add(whole, options)
            except re2.error as bad:
                why = bad.args[0].decode() if bad.args and isinstance(bad.args[0], bytes) else str(bad)
                raise ValueError(f"expression: {why}: {text!r}") from None
            if steps > MOST_STEPS:
                raise ValueError(f"expression: {steps} steps, not up to {MOST_STEPS}: {text!r}")
            each.append(steps)
        if sum(each) > MOST_TOGETHER:
            raise ValueError(f"expressions: {sum(each)} steps together, not up to {MOST_TOGETHER}")
        self.filter.Compile()

    def matching(self, path: bytes) -> Sequence[int]:
        """The places of all that take the path in, upwards. Raises TurnedAway for a path that is too long."""
        if len(path) > MOST_PATH:
            # To take it for no match would hand it to a route that comes after.
            raise TurnedAway(f"a path of more than {MOST_PATH} bytes where expressions decide")
        return self.filter.Match(path) or ()
