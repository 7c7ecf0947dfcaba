"""Runs a process of the tier: settings, signals and the event loop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from random import Random

from wheatring.tier.boot_settings.exceptions import SettingsError
from wheatring.tier.boot_settings.settings import Settings, read_settings, settings_path
from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.event_log import log_event, start_logging
from wheatring.tier.role_process import RoleProcess

EXIT_CANNOT_START = 2

ProcessFactory = Callable[[Settings, Random], RoleProcess]


async def _serve(make_process: ProcessFactory, settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    try:
        process = make_process(settings, Random())
        loop.add_signal_handler(signal.SIGHUP, process.reload)
        await process.start()
    except (OSError, DiskError, KeyError) as error:
        print(f"wheatring: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    gc.freeze()  # modules loaded by now stay in use, so the collector need not traverse them
    await stopping.wait()
    log_event("stopping")
    await process.stop()
    return 0


def run(make_process: ProcessFactory) -> None:
    """Run a process until SIGTERM or SIGINT; does not return.

    The process exits with `os._exit`, so that no library thread can delay the exit.
    """
    # Before the SIGHUP handler is installed, the signal would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = read_settings(settings_path())
    except SettingsError as error:
        print(f"wheatring: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_START)
    start_logging(settings.node)
    status = asyncio.run(_serve(make_process, settings))
    sys.stdout.flush()
    os._exit(status)
