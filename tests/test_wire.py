"""The line protocol of the simulator, the adapter process, and the limits on the sources of the policy."""

from __future__ import annotations

import ast
import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from notchflow import wire
from notchflow.interface import (
    Cancel,
    ClientGone,
    Effect,
    Fail,
    Limits,
    ListKind,
    Member,
    Membership,
    Outcome,
    PeerMessage,
    Probe,
    Probed,
    Refuse,
    Request,
    RequestClass,
    Rules,
    Send,
    SetTimer,
    Settings,
    State,
    Status,
    StreamStarted,
    Tenant,
    Timer,
    Watch,
)

ROOT = Path(__file__).parent.parent
MODULE_LINES_MAX = 500  # lines of one file of the policy
CONFIG: dict[str, Any] = {
    "Az": "a",
    "Classes": [{"Name": "read", "ObjectiveMs": 300.0, "DeadlineMs": 1000.0, "Effect": "repeatable"}],
    "Limits": {"MaxAttempts": 3, "Cancel": True, "SecondCopies": True},
    "MembershipMode": "on_request",
    "PeersTotal": 2,
    "Rules": {"AskWithinMs": 10000.0},
    "Report": {"Fields": ["load_share", "tps"]},
    "SomethingNew": {"A": 1},
}


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "ask\tMsgId=7\tGrade=read\tRouteKey=00ff\tNotAfterMs=9.5\tWorkHintMs=2\tBytesHint=3\t"
            "Retry=1\tMutates=1\tOrg=t",
            Request(7, "read", 9.5, "00ff", "t", 2.0, 3.0, True, True),
        ),
        ("ask\tMsgId=7\tGrade=read\tNotAfterMs=9.5\tOrg=0\tNovel=1", Request(7, "read", 9.5)),
        (
            "answer\tMsgId=7\tTimeTakenMs=1.5\tClosed=1\tNode=3\tRc=completed\tHop=0\tDetail=1\tMetrics=0.5,20",
            Outcome(7, 0, 3, Status.OK, 1.5, True, True, {"util": 0.5, "qps": 20.0}),
        ),
        (
            "answer\tMsgId=7\tNode=3\tRc=lookup_miss\tHop=1\tDetail=3",
            Outcome(7, 1, 3, Status.MISS, hit=False),
        ),
        ("established\tMsgId=7\tHop=0\tTimeTakenMs=1\tNode=3", StreamStarted(7, 0, 3)),
        ("gone\tMsgId=7", ClientGone(7)),
        ("reminder\tNonce=x", Timer("x")),
        ("echo\tNode=3\tTimeTakenMs=1\tRc=overdue", Probed(3, Status.TIMEOUT, 1.0)),
        ("heard\tSrc=1\tContents=6869", PeerMessage(1, b"hi")),
        ("heard\tSrc=1\tContents=-", PeerMessage(1, b"")),
    ],
)
def test_events_are_decoded(line: str, event: Any) -> None:
    name, fields = wire.split_line(line)
    assert wire.decode_event(name, fields, ("load_share", "tps")) == event


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (Send(1, 2, 80.0), "call_out\tMsgId=1\tTimeoutMs=80.000\tNode=2"),
        (Send(1, 2), "call_out\tMsgId=1\tNode=2"),
        (Cancel(1, 0), "cancel\tMsgId=1\tHop=0"),
        (Refuse(1), "deny\tMsgId=1"),
        (Refuse(1, 50.0), "deny\tMsgId=1\tHoldOffMs=50.000"),
        (Fail(1), "finish_error\tMsgId=1"),
        (SetTimer(5.5, "x"), "wake_me\tTimeMs=5.500\tNonce=x"),
        (Probe(3), "sound_out\tNode=3"),
        (Watch(), "subscribe\tOn=1"),
        (Watch(False), "subscribe\tOn=0"),
    ],
)
def test_actions_are_encoded(action: Any, line: str) -> None:
    assert wire.encode(action) == line


def test_lists_are_decoded() -> None:
    _, fields = wire.split_line("sync\tScope=restored\tGeneration=41\tHosts=1")
    _, item = wire.split_line(
        "item\tFamilyType=large\tPod=2\tReadiness=terminating\tSize=1.5\tZone=z\t" "ReadyAtMs=6.5\tNode=9"
    )
    member = Member(9, State.DRAINING, "large", "z", 2, 1.5, 6.5)
    assert wire.decode_member(item) == member
    assert wire.decode_membership(fields, (member,)) == Membership(ListKind.CACHED, (member,), 41)


def test_settings_skip_unknown_keys_and_default_absent_ones() -> None:
    settings, fields = wire.decode_settings(json.dumps(CONFIG))
    assert settings.list_on_request and settings.balancers == 2 and fields == ("load_share", "tps")
    assert settings.classes[0].effect is Effect.SAFE
    cache_aside = CONFIG | {"FamilyInfo": {"Mode": "aside", "OriginKind": 1}, "Kinds": ["box", "store"]}
    assert wire.decode_settings(json.dumps(cache_aside))[0].origin_kind == "store"


CLASS = {"Name": "a", "ObjectiveMs": 1, "DeadlineMs": 2}


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        (
            {"Rules": {"AskWithinMs": "x"}},
            "Rules.AskWithinMs: must be a finite number, not 'x': write it in d",
        ),
        ({"Rules": {"AskWithinMs": True}}, "Rules.AskWithinMs: must be a finite number, not True"),
        ({"Rules": {"AskWithinMs": -5}}, "Rules.AskWithinMs: must be above 0, not -5.0"),
        ({"Rules": {"ColdShare": 2}}, "Rules.ColdShare: must lie in (0, 1], is 2.0"),
        ({"Rules": [1]}, "Rules: must be an object, not [1]: write it in { }"),
        ({"Limits": {"MaxAttempts": 1.5}}, "Limits.MaxAttempts: must be a whole number, not 1.5"),
        ({"Limits": {"MaxAttempts": 0}}, "Limits.MaxAttempts: must be at least 1, is 0"),
        ({"Limits": {"Cancel": "yes"}}, "Limits.Cancel: must be true or false, not 'yes'"),
        ({"PeersTotal": 0}, "PeersTotal: must be at least 1, is 0"),
        ({"Az": 3}, "Az: must be a text, not 3: write it in quotes"),
        ({"Classes": {}}, "Classes: must be a list, not {}: write it in [ ]"),
        ({"Classes": []}, "Classes: must not be empty"),
        ({"Classes": [CLASS, 7]}, "Classes[1]: must be an object, not 7"),
        ({"Classes": [CLASS, CLASS]}, "Classes: holds a name twice"),
        ({"Classes": [{"Name": "a", "ObjectiveMs": 1}]}, "Classes[0].DeadlineMs: is missing"),
        ({"Classes": [CLASS | {"DeadlineMs": 0}]}, "Classes[0].DeadlineMs: must be above 0, not 0"),
        ({"Classes": [CLASS | {"Effect": "often"}]}, "Classes[0].Effect: must be one of repeatable, by_key"),
        (
            {"Tenants": [{"Name": "t", "QuotaPerS": "much"}]},
            "Tenants[0].QuotaPerS: must be a finite number, not",
        ),
        ({"Tenants": [None]}, "Tenants[0]: must be an object, not None"),
        ({"Kinds": "box"}, "Kinds: must be a list, not 'box'"),
        ({"Report": {"Fields": [1]}}, "Report.Fields: must be a text, not 1"),
    ],
)
def test_errors_of_settings_name_place_and_value(settings: dict[str, Any], message: str) -> None:
    with pytest.raises(wire.WireError) as caught:
        wire.decode_settings(json.dumps({"Classes": [CLASS]} | settings))
    assert str(caught.value).startswith("Config: " + message)


@pytest.mark.parametrize(
    ("make", "field"),
    [
        (lambda: Settings(classes=()), "Settings.classes"),
        (lambda: RequestClass("a", 0, 10), "RequestClass.aim_ms"),
        (lambda: RequestClass("a", 10, float("nan")), "RequestClass.deadline_ms"),
        (lambda: Limits(max_attempts=0), "Limits.max_attempts"),
        (lambda: Rules(cold_share=0), "Rules.cold_share"),
        (lambda: Rules(fall_ms=-1), "Rules.fall_ms"),
        (lambda: Tenant("", 1), "Tenant.name"),
        (lambda: Settings(classes=(RequestClass("a", 1, 2),), balancers=0), "Settings.balancers"),
    ],
)
def test_invalid_settings_name_the_field(make: Any, field: str) -> None:
    with pytest.raises(ValueError, match=field):
        make()


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "notchflow.drill"]
    return subprocess.run(
        command,
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        timeout=60,
        check=False,
    )


def session() -> str:
    lines = ["tick\tTimeMs=0", "commit", "tick\tTimeMs=1"]
    for i in range(3):
        lines += [
            f"select\tI=proxy_{i}",
            f"attach\tRngSeed={i}\tConfig={json.dumps(CONFIG)}",
            "sync\tScope=restored\tGeneration=1\tHosts=9",
        ]
        lines += [
            f"item\tFamilyType={'xy'[n % 2]}\tReadiness=in_service\tZone=a\tNode={n * 7919 + 5}"
            for n in range(9)
        ]
    lines.append("commit")
    for step in range(400):
        lines += [
            f"tick\tTimeMs={2 + step * 5}",
            f"select\tI=proxy_{step % 3}",
            f"ask\tMsgId={step}\tGrade=read\tRouteKey={step * step % 7:016x}\t"
            f"NotAfterMs={900 + step * 5}",
        ]
        if step % 50 < 3:
            lines.append("reminder\tNonce=sample")
        lines.append("commit")
    return "\n".join(lines) + "\n"


def test_adapter_replies_do_not_depend_on_the_hash_seed() -> None:
    first = run_adapter(session(), "1")
    assert first.returncode == 0 and first.stderr == ""
    assert first.stdout.count("call_out\t") == 400
    assert first.stdout.count("ready\n") == 402
    for seed in ("2", "77"):
        assert run_adapter(session(), seed).stdout == first.stdout


def test_instances_do_not_affect_each_other() -> None:
    def replies_to(reply: str, instance: str) -> list[str]:
        lines, current = [], ""
        for line in reply.splitlines():
            if line.startswith("on_behalf"):
                current = line
            elif line == "ready":
                current = ""
            elif current == f"on_behalf\tI={instance}":
                lines.append(line)
        return lines

    kept, selected, session_lines = [], True, session().splitlines()
    for line in session_lines:
        if line.startswith("select"):
            selected = line.endswith("proxy_1")
        if line.startswith(("tick", "commit")):
            kept.append(line)
            selected = True
        elif selected:
            kept.append(line)
    alone = run_adapter("\n".join(kept) + "\n").stdout
    assert replies_to(alone, "proxy_1") == replies_to(run_adapter(session()).stdout, "proxy_1") != []


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("tock\n", 1, "expected tick"),
        ("tick\tTimeMs=soon\n", 1, "expected a number in TimeMs"),
        ("tick\tTimeMs=1\nselect\tI=proxy_0\nask\tMsgId=1\n", 3, "expected a running instance"),
        ("tick\tTimeMs=1\nselect\tI=p\nattach\tRngSeed=1\tConfig={\n", 3, "expected JSON in Config"),
        (
            "tick\tTimeMs=1\nselect\tI=p\nattach\tRngSeed=1\tConfig={}\n",
            3,
            "Config: Classes: must not be empty",
        ),
        (
            f"tick\tTimeMs=1\nselect\tI=p\nattach\tRngSeed=1\tConfig={json.dumps(CONFIG)}\nnovel\tA=1\n",
            4,
            "novel",
        ),
        (
            f"tick\tTimeMs=1\nselect\tI=p\nattach\tRngSeed=1\tConfig={json.dumps(CONFIG)}\nanswer\tMsgId=1\tHop=0\t"
            "Node=1\tRc=fine\n",
            4,
            "expected one of",
        ),
        (
            f"tick\tTimeMs=1\nselect\tI=p\nattach\tRngSeed=1\tConfig={json.dumps(CONFIG)}\n"
            "sync\tScope=replace\tHosts=1\ncommit\n",
            5,
            "expected item",
        ),
    ],
)
def test_a_malformed_line_ends_the_adapter_with_a_one_line_error(text: str, line: int, message: str) -> None:
    done = run_adapter(text)
    assert done.returncode != 0
    assert (
        done.stderr.count("\n") == 1 and done.stderr.startswith(f"line {line}: ") and message in done.stderr
    )


def test_a_restarted_instance_has_no_earlier_state() -> None:
    start = f"attach\tRngSeed=1\tConfig={json.dumps(CONFIG)}\nsync\tScope=restored\tHosts=0"
    done = run_adapter(
        "tick\tTimeMs=1\nselect\tI=p\n" + start + "\ncommit\ntick\tTimeMs=2\nselect\tI=p\n"
        "power_off\n" + start + "\nask\tMsgId=1\tGrade=read\tNotAfterMs=90\ncommit\n"
    )
    assert done.returncode == 0 and "deny\tMsgId=1" in done.stdout


def test_a_failure_inside_a_decision_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    import io

    from notchflow.drill import Adapter
    from notchflow.policy.balancer import Balancer

    def broken(self: Balancer, now: float, event: Any) -> list[Any]:
        raise RuntimeError("no such luck")

    monkeypatch.setattr(Balancer, "handle", broken)
    sink = io.StringIO()
    Adapter(io.StringIO(session()), sink).run()
    assert "internal_error\tReasonText=RuntimeError: no such luck" in sink.getvalue()


def test_the_policy_is_pure_and_within_its_limits() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    sources = [(ROOT / name).read_text() for name in policy]
    assert policy == [
        f"notchflow/policy/{n}.py"
        for n in (
            "balancer placement hot_keys fleet rendezvous kinds health nodes pending budgets handover "
            "instance_count"
        ).split()
    ]
    drawn: set[str] = set()
    for source in sources:
        tree = ast.parse(source)
        imported = {n.module for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)}
        imported |= {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
        assert imported <= {
            "__future__",
            "hashlib",
            "heapq",
            "math",
            "random",
            "collections",
            "collections.abc",
            "typing",
            "notchflow.interface",
            *[name[:-3].replace("/", ".") for name in policy],
        }
        names = {n.id for n in ast.walk(tree) if isinstance(n, ast.Name)}
        assert not names & {"open", "print", "input", "hash", "id", "globals", "eval", "exec"}
        drawn |= {
            n.attr
            for n in ast.walk(tree)
            if isinstance(n, ast.Attribute) and isinstance(n.value, ast.Name) and n.value.id == "random"
        }
    assert drawn == {"Random"}
    assert "notchflow/interface.py" in "\n".join(sources[0].splitlines()[:5])
    assert all(len(source.splitlines()) <= MODULE_LINES_MAX for source in sources)
    for path in sorted(ROOT.glob("notchflow/*.py")):
        assert max(len(line) for line in path.read_text().splitlines() or [""]) <= 110, path
