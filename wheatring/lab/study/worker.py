"""A process that plays runs for a pool, one after another: messages on standard input and output.

The first message says how to begin (`Hello`) and is answered with what is wrong, "" for nothing; each further
one is a run's spec and is answered with how it ended. All are msgpack behind their length in four bytes.
"""

from __future__ import annotations

import os
import queue
import sys
import threading
from pathlib import Path
from typing import BinaryIO

import msgspec
from msgspec import Struct

from wheatring.lab.study import StudyError
from wheatring.lab.study.runs import RunResult, RunSpec, function
from wheatring.lab.study.settings import Pairs, apply


class Hello(Struct, frozen=True):
    """The first message to a worker."""

    run: str  # module:function
    patches: Pairs


def framed(message: object) -> bytes:
    """Return a message as it is sent: msgpack behind its length in four bytes."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(4, "big") + body


def _read(source: BinaryIO, messages: queue.SimpleQueue[bytes]) -> None:
    while (head := source.read(4)) and len(head) == 4:
        messages.put(source.read(int.from_bytes(head, "big")))
    # Guards against workers that outlive a pool that was killed: nobody waits for the run that is on.
    os._exit(0)


def _load(hello: Hello) -> str:
    try:
        apply(hello.patches)  # first, so that all that is imported from here on sees them
        function(hello.run)
    except StudyError as error:
        return str(error)
    except (ImportError, AttributeError) as error:
        return f"{hello.run}: can't be loaded: {error}"
    return ""


def _play(name: str, spec: RunSpec) -> RunResult:
    try:
        return RunResult("done", msgspec.json.encode(function(name)(spec)))
    except Exception as error:
        step = error.__traceback__
        while step is not None and step.tb_next is not None:
            step = step.tb_next
        where = f"{Path(step.tb_frame.f_code.co_filename).name}:{step.tb_lineno}: " if step else ""
        return RunResult("broken", why=f"{where}{type(error).__name__}: {error}".splitlines()[0])


def main() -> None:
    """Play the runs that come on standard input until it ends."""
    # What a run prints must not get between the messages.
    out = os.fdopen(os.dup(1), "wb")
    nothing = os.open(os.devnull, os.O_WRONLY)
    os.dup2(nothing, 1)
    messages: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    threading.Thread(target=_read, args=(sys.stdin.buffer, messages), daemon=True).start()

    def say(message: object) -> None:
        """Write one message."""
        out.write(framed(message))
        out.flush()

    hello = msgspec.msgpack.decode(messages.get(), type=Hello)
    fault = _load(hello)
    say(fault)
    while not fault:
        say(_play(hello.run, msgspec.msgpack.decode(messages.get(), type=RunSpec)))
    os._exit(0)  # an orderly end would wait for the thread that reads


if __name__ == "__main__":
    main()
