"""Builds as deploy/balancer.toml says, then starts the adapter and the real program once each."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path

from standins.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent
WAIT_S = 30.0


def start_adapter(command: str) -> None:
    done = subprocess.run(
        ["/bin/sh", "-c", command],
        cwd=ROOT,
        input="tick\tTimeMs=1\ncommit\n",
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )
    if done.returncode or done.stdout != "ready\n":
        sys.exit(f"sim: exit {done.returncode}, {done.stdout!r}, {done.stderr!r}")


def start_proxy(command: str) -> None:
    listen, discovery = (f"127.0.0.1:{port}" for port in free_ports(2))
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump({"settings": {"Classes": [{"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 500}]}}, file)
        file.flush()
        told = {
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": listen,
            "ROUTER_DISCOVERY": discovery,
            "ROUTER_CONFIG": file.name,
        }
        proxy = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=os.environ | told)
        try:
            until = time.monotonic() + WAIT_S
            while proxy.poll() is None and time.monotonic() < until:
                try:
                    with urllib.request.urlopen(f"http://{listen}/health/ready", timeout=1) as answer:
                        assert answer.status == 200
                    break
                except OSError:
                    time.sleep(0.05)
            else:
                sys.exit("run: never ready")
            proxy.send_signal(signal.SIGTERM)
            if proxy.wait(WAIT_S) != 0:
                sys.exit(f"run: exit {proxy.returncode} after SIGTERM")
        finally:
            if proxy.poll() is None:
                proxy.kill()


def main() -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True)
    start_adapter(deploy["sim"])
    start_proxy(deploy["run"])
    print("build, sim and run: started and ended as they should")


if __name__ == "__main__":
    main()
