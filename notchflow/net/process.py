"""The proxy as a process: reads the configuration, runs until a signal stops it, and returns an exit
status."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import tempfile

import uvloop

from notchflow import logs
from notchflow.net.collector import freeze_startup_objects
from notchflow.net.config import ConfigError, load, reload
from notchflow.net.handover import Handover
from notchflow.net.host import Host

log = logging.getLogger(__name__)


def on_sighup(host: Host) -> None:
    """Handles SIGHUP: applies the configuration file as it is now. A file that cannot be read changes
    nothing."""
    try:
        config = reload(os.environ, host.config.key_paths)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        host.metrics.cfg_invalid += 1
        return
    host.reload(config)


def main() -> int:
    """Runs one proxy and returns the exit status: 2 for a faulty configuration, 1 if it cannot listen."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 2
    logs.configure_logging()
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    host = Host(config, loop)
    if config.accept_fd is not None:  # another process may be serving, and a successor may follow
        host.handover = Handover(host, tempfile.gettempdir(), config.name)
    loop.add_signal_handler(signal.SIGHUP, on_sighup, host)
    loop.add_signal_handler(signal.SIGTERM, host.stop)
    loop.add_signal_handler(signal.SIGINT, host.stop)
    try:
        host.start()
    except OSError as error:
        print(f"notchflow: cannot listen on {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    freeze_startup_objects()
    loop.run_forever()
    return 0
