"""The process of one sidecar: reads what it is told, takes the signals, runs the reactor."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from typing import Any

from wheatring import config, lazy_imports, log, operator_properties
from wheatring.daemon.sidecar import Sidecar, read_configuration


def serve(file: str | None, capture: bool, own: str | None = None) -> int:
    """Serve until told to stop; `file` is the operators', `own` the project's. The exit status: 2 where it
    could not start.
    """
    gc.disable()  # nearly all that a start makes stays, and many may start on one machine at once
    try:
        sidecar = start_sidecar(file, capture, own)
    finally:
        gc.enable()
    if sidecar is None:
        return 2
    sidecar.reactor.run(installSignalHandlers=False)
    sys.stdout.flush()
    sys.stderr.flush()
    # The follower starts once this process is gone, and all that the interpreter would take apart is too.
    os._exit(sidecar.status)


def start_sidecar(file: str | None, capture: bool, own: str | None) -> Sidecar | None:
    """One that listens, and hears signals. None: it could not, and has said why."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload, it must not end us
    try:
        said = read_configuration(own)
        told = config.read(os.environ)
        asked = operator_properties.read(file)
    except (config.ConfigError, operator_properties.OperatorsError, config.FileError) as bad:
        print(f"wheatring: {bad}", file=sys.stderr)
        return None
    log.set_non_blocking()
    lazy_imports.defer()
    from twisted.internet import error
    from twisted.internet import reactor as installed

    reactor: Any = installed  # Twisted's own type lacks half of its methods
    from twisted.logger import globalLogBeginner

    reactor.seconds = time.monotonic  # or a step of the system's time would hold up or hurry all timers

    observers: Any = [log.log_twisted_failure]
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False)
    try:
        sidecar = Sidecar(reactor, told, asked, capture, own=own, said=said)
    except config.FileError as bad:  # the key file that the project's own file names
        print(f"wheatring: {bad}", file=sys.stderr)
        return None

    def told_to_stop(number: int, frame: object) -> None:
        reactor.callFromThread(sidecar.stop)

    def told_to_reload(number: int, frame: object) -> None:
        reactor.callFromThread(sidecar.reload, os.environ, file)

    # Before it says that it listens, from when on all of these may come.
    signal.signal(signal.SIGHUP, told_to_reload)
    signal.signal(signal.SIGTERM, told_to_stop)
    signal.signal(signal.SIGINT, told_to_stop)
    try:
        sidecar.start()
    except error.CannotListenError as bad:
        print(f"wheatring: listen: {bad}", file=sys.stderr)
        return None
    return sidecar
