"""The process of one sidecar: reads its files, handles signals, runs the reactor."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from typing import Any

from wheatring.common import log
from wheatring.daemon import lazy_imports, operator_properties
from wheatring.daemon.config import platform_file
from wheatring.daemon.config.exceptions import PlatformFileError, ProjectFileError
from wheatring.daemon.configuration import read_configuration
from wheatring.daemon.sidecar import Sidecar

START_FAILED = 2  # exit status


def serve(operators_path: str | None, capture: bool, configuration_path: str | None = None) -> int:
    """Serve until a signal ends it.

    Returns
    -------
    int
        The exit status, where it could not start. Else the process ends here.
    """
    gc.disable()  # nearly all that a start makes stays, and many may start on one machine at once
    try:
        sidecar = start_sidecar(operators_path, capture, configuration_path)
    finally:
        gc.enable()
    if sidecar is None:
        return START_FAILED
    sidecar.reactor.run(installSignalHandlers=False)
    sys.stdout.flush()
    sys.stderr.flush()
    # The next process starts once this one is gone, and all that the interpreter would take apart is too.
    os._exit(sidecar.exit_status)


def start_sidecar(
    operators_path: str | None, capture: bool, configuration_path: str | None
) -> Sidecar | None:
    """Start a sidecar that listens and handles signals; None where it can't, which is reported on stderr."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload, it must not end us
    try:
        configuration = read_configuration(configuration_path)
        platform = platform_file.read(os.environ)
        operators = operator_properties.read(operators_path)
    except (PlatformFileError, operator_properties.OperatorFileError, ProjectFileError) as error:
        print(f"wheatring: {error}", file=sys.stderr)
        return None
    log.set_non_blocking()
    lazy_imports.defer()
    reactor = _prepared_reactor()
    try:
        sidecar = Sidecar(
            reactor, platform, operators, capture, configuration_path=configuration_path,
            configuration=configuration,
        )  # fmt: skip
    except ProjectFileError as error:  # the key file that the project's own file names
        print(f"wheatring: {error}", file=sys.stderr)
        return None
    # Before it logs that it listens, from when on all of these may come.
    _handle_signals(sidecar, operators_path)
    from twisted.internet.error import CannotListenError

    try:
        sidecar.start()
    except CannotListenError as error:
        print(f"wheatring: listen: {error}", file=sys.stderr)
        return None
    return sidecar


def _prepared_reactor() -> Any:
    """Import Twisted's reactor; set its clock and its log."""
    from twisted.internet import reactor as installed
    from twisted.logger import globalLogBeginner

    reactor: Any = installed  # Twisted's own type lacks half of its methods
    reactor.seconds = time.monotonic  # or a step of the system's time would hold up or hurry all timers
    observers: Any = [log.log_twisted_failure]
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False)
    return reactor


def _handle_signals(sidecar: Sidecar, operators_path: str | None) -> None:
    reactor = sidecar.reactor

    def stop(_number: int, _frame: object) -> None:
        """Stop the sidecar from the reactor's thread."""
        reactor.callFromThread(sidecar.stop)

    def reload(_number: int, _frame: object) -> None:
        """Reload the configuration from the reactor's thread."""
        reactor.callFromThread(sidecar.reload, os.environ, operators_path)

    signal.signal(signal.SIGHUP, reload)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
