"""The regular expressions of one host's routes, matched together by RE2 in time linear in the path.

A single RE2 set would need one pass, but it has no fallback if the number of its states explodes: a thousand
unspecific expressions took 0.4 s for a hostile path of 4 KB. Instead, RE2's filter finds the expressions
whose literals occur in the path, and only those are run. The time is proportional to program steps times
bytes, at about 5 ns each if the states explode. Both factors are limited, so a path takes at most 0.1 s.
"""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.daemon.routes.exceptions import InvalidRequestError

MAX_PROGRAM_STEPS = 256  # of the RE2 program of one expression
MAX_TOTAL_STEPS = 20 * 1024  # of the RE2 programs of all expressions of one host
MAX_PATH_BYTES = 1024  # of a path to match expressions against
MAX_MEMORY_BYTES = 64 * 1024  # of one expression's cache; RE2 is only slower once it is full


class ExpressionSet:
    """Compiled expressions, in the given order.

    Raises ValueError for an expression that RE2 rejects or that is too large.
    """

    def __init__(self, expressions: Sequence[str]) -> None:
        try:
            import re2  # in the extra `routes`; imported only if an expression is used
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
        for expression in expressions:
            try:
                # Compile it without anchors first, as `a)|(b` would compile with them.
                re2.compile(expression.encode(), options)
                anchored = rb"\A(?:%s)\z" % expression.encode()
                steps = re2.compile(anchored, options).programsize
                self.filter.Add(anchored, options)
            except re2.error as error:
                cause = error.args[0] if error.args else None
                reason = cause.decode() if isinstance(cause, bytes) else str(error)
                raise ValueError(f"expression: {reason}: {expression!r}") from None
            if steps > MAX_PROGRAM_STEPS:
                raise ValueError(f"expression: {steps} steps, not up to {MAX_PROGRAM_STEPS}: {expression!r}")
            total_steps += steps
        if total_steps > MAX_TOTAL_STEPS:
            raise ValueError(f"expressions: {total_steps} steps together, not up to {MAX_TOTAL_STEPS}")
        self.filter.Compile()

    def matching(self, path: bytes) -> Sequence[int]:
        """Return the indexes of all expressions that match the path, in ascending order.

        Raises
        ------
        InvalidRequestError
            The path is longer than `MAX_PATH_BYTES`. "No match" would send it to a later route.
        """
        if len(path) > MAX_PATH_BYTES:
            raise InvalidRequestError(f"a path of more than {MAX_PATH_BYTES} bytes where expressions decide")
        return self.filter.Match(path) or ()
