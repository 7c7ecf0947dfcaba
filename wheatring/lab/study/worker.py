"""A process that plays runs for a pool, one after another: messages on standard input and output.

The first message is a `Hello`, answered with an error text, "" if there is no error. Each further message is
the spec of a run, answered with its result. All messages are msgpack, prefixed by their length in four bytes.
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
from wheatring.lab.study.runs import RunResult, RunSpec, load_run
from wheatring.lab.study.settings import Pairs, apply


class Hello(Struct, frozen=True):
    """The first message to a worker."""

    run: str  # module:function
    patches: Pairs


def encode_message(message: object) -> bytes:
    """Return a message in msgpack, prefixed by its length in four bytes."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(4, "big") + body


def _read(source: BinaryIO, messages: queue.SimpleQueue[bytes]) -> None:
    while (head := source.read(4)) and len(head) == 4:
        messages.put(source.read(int.from_bytes(head, "big")))
    # The input also ends if the pool was killed: exit at once, as nobody waits for the current run.
    os._exit(0)


def _load(hello: Hello) -> str:
    try:
        apply(hello.patches)  # first, so that modules imported later see them
        load_run(hello.run)
    except StudyError as error:
        return str(error)
    except (ImportError, AttributeError) as error:
        return f"{hello.run}: can't be loaded: {error}"
    return ""


def _play(name: str, spec: RunSpec) -> RunResult:
    try:
        return RunResult("done", msgspec.json.encode(load_run(name)(spec)))
    except Exception as error:
        frame = error.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        where = f"{Path(frame.tb_frame.f_code.co_filename).name}:{frame.tb_lineno}: " if frame else ""
        return RunResult("broken", why=f"{where}{type(error).__name__}: {error}".splitlines()[0])


def main() -> None:
    """Play the runs received on standard input until it ends."""
    # Output printed by a run must not mix with the messages.
    out = os.fdopen(os.dup(1), "wb")
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, 1)
    messages: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    threading.Thread(target=_read, args=(sys.stdin.buffer, messages), daemon=True).start()

    def send(message: object) -> None:
        """Write one message."""
        out.write(encode_message(message))
        out.flush()

    hello = msgspec.msgpack.decode(messages.get(), type=Hello)
    fault = _load(hello)
    send(fault)
    while not fault:
        send(_play(hello.run, msgspec.msgpack.decode(messages.get(), type=RunSpec)))
    os._exit(0)  # a regular exit would wait for the reader thread


if __name__ == "__main__":
    main()
