"""The program: the platform's proxy, or a command. Each imports only what it needs."""

from __future__ import annotations

import os
import sys

from notchflow.net.pacing import paced_imports


def run_proxy() -> int:
    """Runs the platform's proxy; returns its exit status.

    With an inherited socket another process may still be serving on this machine, so imports are paced.
    """
    if "ROUTER_ACCEPT_FD" in os.environ:
        with paced_imports():
            import notchflow.net.process  # noqa: F401
    from notchflow.net.process import main

    return main()


def start() -> int:
    """Runs the command given, or without one the platform's proxy, of which alone the code is then loaded."""
    if len(sys.argv) > 1:
        from notchflow.cli import main as run_command

        return run_command(sys.argv[1:])
    return run_proxy()


if __name__ == "__main__":
    sys.exit(start())
