"""The regular expressions of one host's routes, matched all at once by RE2 in time linear in the path.

One RE2 set would answer in a single pass, but it has no fallback where its states multiply: a thousand loose
expressions took 0.4 s for a path of 4 KB made for them. So RE2's filter finds the few whose fixed texts occur
in the path, and only those are run. Linear is still a product, of steps and bytes, about 5 ns each where
states multiply: so each factor has a limit, and one path costs 0.1 s at the very worst.
"""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.daemon.routes.exceptions import InvalidRequestError

MAX_PROGRAM_STEPS = 256  # of one expression, in RE2's program
MAX_TOTAL_STEPS = 20 * 1024  # of all expressions of one host
MAX_PATH_BYTES = 1024  # of a path that expressions are matched against
MAX_MEMORY_BYTES = 64 * 1024  # for one expression's cache; RE2 is slower, not wrong, once it is used up


class ExpressionSet:
    """Expressions in their order, compiled.

    Raises ValueError for one that RE2 does not accept, or that is too large.
    """

    def __init__(self, texts: Sequence[str]) -> None:
        try:
            import re2  # of the extra `routes`, and only where an expression is used
        except ImportError:
            raise ValueError(
                "expression: needs google-re2, which comes with the extra 'routes': 'wheatring[routes]'"
            ) from None
        options = re2.Options()
        options.max_mem = MAX_MEMORY_BYTES
        options.log_errors = False
        options.never_capture = True
        options.encoding = re2.Options.Encoding.LATIN1
        total_steps = 0
        self.filter = re2.Filter()
        for text in texts:
            try:
                # By itself first: inside our anchors, `a)|(b` would compile.
                re2.compile(text.encode(), options)
                anchored = rb"\A(?:%s)\z" % text.encode()
                steps = re2.compile(anchored, options).programsize
                self.filter.Add(anchored, options)
            except re2.error as error:
                cause = error.args[0] if error.args else None
                reason = cause.decode() if isinstance(cause, bytes) else str(error)
                raise ValueError(f"expression: {reason}: {text!r}") from None
            if steps > MAX_PROGRAM_STEPS:
                raise ValueError(f"expression: {steps} steps, not up to {MAX_PROGRAM_STEPS}: {text!r}")
            total_steps += steps
        if total_steps > MAX_TOTAL_STEPS:
            raise ValueError(f"expressions: {total_steps} steps together, not up to {MAX_TOTAL_STEPS}")
        self.filter.Compile()

    def matching(self, path: bytes) -> Sequence[int]:
        """Return the indexes of all expressions that match the path, in ascending order.

        Raises
        ------
        InvalidRequestError
            The path is longer than `MAX_PATH_BYTES`. "No match" would hand it to a route that comes later.
        """
        if len(path) > MAX_PATH_BYTES:
            raise InvalidRequestError(f"a path of more than {MAX_PATH_BYTES} bytes where expressions decide")
        return self.filter.Match(path) or ()
