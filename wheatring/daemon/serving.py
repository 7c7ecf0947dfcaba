"""The process of one sidecar: reads the configuration, handles signals and runs the reactor."""

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
    """Serve until a signal stops the process.

    Returns
    -------
    int
        The exit status if the start failed. Otherwise the function does not return: it ends the process.
    """
    gc.disable()  # most objects created at the start stay; saves CPU when many sidecars start together
    try:
        sidecar = start_sidecar(operators_path, capture, configuration_path)
    finally:
        gc.enable()
    if sidecar is None:
        return START_FAILED
    sidecar.reactor.run(installSignalHandlers=False)
    sys.stdout.flush()
    sys.stderr.flush()
    # Skips the interpreter's teardown, as the next process starts only after this one has ended.
    os._exit(sidecar.exit_status)


def start_sidecar(
    operators_path: str | None, capture: bool, configuration_path: str | None
) -> Sidecar | None:
    """Start a sidecar that listens and handles signals; on failure, report it on stderr and return None."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # must not end the process before the reload handler is set
    try:
        configuration = read_configuration(configuration_path)
        platform = platform_file.read(os.environ)
        operators = operator_properties.read(operators_path)
    except (PlatformFileError, operator_properties.OperatorFileError, ProjectFileError) as error:
        print(f"wheatring: {error}", file=sys.stderr)
        return None
    log.set_non_blocking()
    lazy_imports.defer()
    reactor = _configured_reactor()
    try:
        sidecar = Sidecar(
            reactor, platform, operators, capture, configuration_path=configuration_path,
            configuration=configuration,
        )  # fmt: skip
    except ProjectFileError as error:  # for example, an unusable key file
        print(f"wheatring: {error}", file=sys.stderr)
        return None
    # Set before the sidecar logs that it is listening, as signals may arrive from then on.
    _handle_signals(sidecar, operators_path)
    from twisted.internet.error import CannotListenError

    try:
        sidecar.start()
    except CannotListenError as error:
        print(f"wheatring: listen: {error}", file=sys.stderr)
        return None
    return sidecar


def _configured_reactor() -> Any:
    """Import Twisted's reactor, and configure its clock and log."""
    from twisted.internet import reactor as installed
    from twisted.logger import globalLogBeginner

    reactor: Any = installed  # the type in Twisted lacks many of the methods
    reactor.seconds = time.monotonic  # else a step of the system clock would delay or hasten all timers
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
