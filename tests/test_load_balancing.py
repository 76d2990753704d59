"""Hot keys, rendezvous order, load threshold, load bound and hedge timers."""

from __future__ import annotations

import math
import random
from collections import Counter

import pytest

from notchflow.interface import (
    ListKind,
    Member,
    Membership,
    Outcome,
    Send,
    SetTimer,
    State,
    Status,
    Timer,
)
from notchflow.policy.balancer import Balancer
from notchflow.policy.fleet import Fleet
from notchflow.policy.hot_keys import COMPARISONS, HIGH_LOAD_SPREAD, FastTopK, LoadThreshold
from notchflow.policy.nodes import hash64
from notchflow.policy.rendezvous import HEAD_PLACES, MASK64
from tests.helpers import make_balancer, make_fleet, make_key, make_request, make_settings, ok, sends


def feed(topk: FastTopK, rng: random.Random, count: int, hot: dict[str, float]) -> None:
    keys, shares = [*hot, ""], [*hot.values(), 1 - sum(hot.values())]
    for key in rng.choices(keys, shares, k=count):
        topk.observe(key or make_key(rng.randrange(10**9)))


def test_rates_of_a_skewed_stream_are_estimated() -> None:
    topk = FastTopK(random.Random(1))
    topk.capacity = 256
    feed(topk, random.Random(2), 4000, {"a": 0.2, "b": 0.05})
    hot = topk.top_rates()
    assert list(hot)[:2] == ["a", "b"]
    assert 0.17 < hot["a"] < 0.23
    assert 0.035 < hot["b"] < 0.065


def test_uniform_stream_has_no_hot_keys() -> None:
    topk = FastTopK(random.Random(1))
    feed(topk, random.Random(2), 4000, {})
    assert topk.top_rates() == {}


def test_a_few_matches_make_no_key_hot() -> None:
    topk = FastTopK(random.Random(1))
    for name in ["a", "b", "a", "c", "d", "e", "f", "g", "h", "i", "j", "k", "a"]:
        topk.observe(name)
    assert 0 < topk.counters["a"] < 6 and topk.top_rates() == {}
    feed(topk, random.Random(3), 80, {"z": 0.3})
    assert "z" in topk.top_rates()


def test_a_new_hot_key_is_found_beside_the_historical_ones() -> None:
    topk = FastTopK(random.Random(1))
    feed(topk, random.Random(2), 1000, {"a": 0.3})
    topk.enter_factoring()
    assert list(topk.historical) == ["a"]
    assert topk.counters == {} and topk.compared == 0
    feed(topk, random.Random(3), 600, {"b": 0.3})
    hot = topk.top_rates()
    assert hot["b"] > hot["a"]
    assert "a" not in topk.fifo[-300:]
    topk.leave_factoring()
    assert topk.historical == {}


def test_halving_counts_forgets_old_keys() -> None:
    topk = FastTopK(random.Random(1))
    feed(topk, random.Random(2), 500, {"a": 0.3})
    for _ in range(12):
        topk.halve()
    assert topk.top_rates() == {}


@pytest.mark.parametrize(("balancers", "most"), [(1, 1.0), (200, 0.1)])
def test_no_key_exceeds_the_share_of_a_cold_node_over_many_instances(balancers: int, most: float) -> None:
    """Guards against the minimum of each budget: two requests per second for one key, from two hundred
    instances."""
    balancer, cold = make_balancer(60, balancers=balancers), 1000
    balancer.handle(1.0, Membership(ListKind.DELTA, (Member(cold, zone="a", ready_at_ms=1.0),)))
    key = next(make_key(n) for n in range(5_000) if balancer.fleet.order(make_key(n))[0].id == cold)
    for n in range(40):  # one in eight requests is for the key
        balancer.hot_keys.topk.observe(key if n % 8 == 0 else make_key(9_000 + n))
    balancer.rate_per_ms = 0.02
    found = 0
    for n in range(300):
        balancer.fleet.nodes[cold].cold_send_times.clear()  # as if another instance had sent it
        (send,) = sends(balancer.handle(10.0 + n, make_request(n, 10.0 + n, key=key)))
        found += send.node == cold
        balancer.handle(10.5 + n, ok(send))
    assert found / 300 <= most and (
        balancers > 1 or found == 300
    ), "a single instance is limited by its budget only"
    rare = next(make_key(n) for n in range(5_000, 20_000) if balancer.fleet.order(make_key(n))[0].id == cold)
    balancer.fleet.nodes[cold].cold_send_times.clear()
    (send,) = sends(balancer.handle(400.0, make_request(999, 400.0, key=rare)))
    assert send.node == cold, "a key without recent requests goes to its home"


def homes(fleet: Fleet, numbers: range) -> dict[int, int]:
    return {number: fleet.order(make_key(number))[0].id for number in numbers}


def test_adding_and_removing_a_node_moves_only_its_keys() -> None:
    fleet = Fleet(make_settings())
    fleet.update(0, Membership(ListKind.FULL, make_fleet(8)))
    before = homes(fleet, range(2000))
    fleet.update(1, Membership(ListKind.DELTA, (Member(5),)))
    after = homes(fleet, range(2000))
    moved = [number for number in before if before[number] != after[number]]
    assert 2000 / 9 * 0.8 < len(moved) < 2000 / 9 * 1.2
    assert {after[number] for number in moved} == {5}
    fleet.update(2, Membership(ListKind.DELTA, (Member(5, State.GONE),)))
    assert homes(fleet, range(2000)) == before


def test_a_cold_node_takes_over_keys_gradually() -> None:
    fleet = Fleet(make_settings())
    fleet.update(0, Membership(ListKind.FULL, make_fleet(8)))
    fleet.update(1000, Membership(ListKind.DELTA, (Member(5, ready_at_ms=1000),)))
    parts = []
    for now in (1000, 6000, 11000):
        fleet.tick(now)
        parts.append(Counter(homes(fleet, range(4000)).values())[5] / 4000)
    assert abs(parts[0] - 0.2 / 8.2) < 0.012
    assert abs(parts[1] - 0.6 / 8.6) < 0.02
    assert abs(parts[2] - 1 / 9) < 0.02


def test_counters_equal_those_of_individual_comparisons() -> None:
    """The reference compares every request with COMPARISONS entries of the FIFO drawn at random."""
    reference, keys, topk = random.Random(5), random.Random(9), FastTopK(random.Random(6))
    fifo: list[str] = []
    counters: Counter[str] = Counter()
    for step in range(30_000):
        topk.capacity = (32, 512, 100)[step // 10_000]  # shrinks and grows, as with the traffic
        name = f"{keys.randrange(8) if keys.random() < 0.4 else keys.randrange(10**6):x}"
        topk.observe(name)
        if fifo:
            draws = min(len(fifo), COMPARISONS)
            counters[name] += sum(fifo[int(reference.random() * len(fifo))] == name for _ in range(draws))
        fifo.append(name)
        del fifo[: max(len(fifo) - topk.capacity, 0)]
    assert topk.fifo == fifo and topk.fifo_counts == Counter(fifo), "the counts match the FIFO"
    frequent = [f"{i:x}" for i in range(8)]
    for name in frequent:
        assert counters[name] > 2_000
        assert abs(topk.counters[name] / counters[name] - 1) < 0.12
    both = sum(topk.counters[n] for n in frequent) / sum(counters[n] for n in frequent)
    assert abs(both - 1) < 0.03


def test_matches_are_binomially_distributed() -> None:
    topk, rounds = FastTopK(random.Random(1)), 20_000
    for share in (0.002, 0.1, 0.5, 0.95):
        seen = Counter(topk._draw_matches(COMPARISONS, share) for _ in range(rounds))
        for matches in range(COMPARISONS + 1):
            expected = (
                math.comb(COMPARISONS, matches) * share**matches * (1 - share) ** (COMPARISONS - matches)
            )
            error = 5 * math.sqrt(expected * (1 - expected) / rounds) + 1 / rounds
            assert abs(seen[matches] / rounds - expected) < error
    assert topk._draw_matches(7, 1.0) == 7


def test_threshold_follows_the_load_history_with_hysteresis() -> None:
    threshold = LoadThreshold()
    assert not any(threshold.sample(10) for _ in range(40))
    assert [threshold.sample(30) for _ in range(4)][-1]
    assert threshold.sample(14)
    assert not [threshold.sample(10) for _ in range(6)][-1]


def test_no_threshold_without_history() -> None:
    assert not any(LoadThreshold().sample(500) for _ in range(30))


def drive(
    balancer: Balancer,
    rng: random.Random,
    start: float,
    count: int,
    share: float,
    gap: float = 5.0,
    first_id: int = 0,
) -> Counter[int]:
    """Sends requests at a steady rate, answered at once; returns the nodes that got those for the hot key."""
    seen: Counter[int] = Counter()
    next_sample = start
    for i in range(count):
        now = start + i * gap
        if now >= next_sample:
            balancer.handle(now, Timer("sample"))
            next_sample = now + 250
        key = "00000000000000aa" if rng.random() < share else make_key(rng.randrange(10**9))
        send = sends(balancer.handle(now, make_request(first_id + i, now, key=key)))[0]
        if key == "00000000000000aa":
            seen[send.node] += 1
        balancer.handle(now, ok(send))
    return seen


def test_a_key_that_overloads_its_home_is_spread_below_the_load_threshold() -> None:
    """Guards against a hot key that does not show in the load of any single instance."""
    balancer = make_balancer(20)
    seen = drive(balancer, random.Random(4), 0, 400, 0.02)
    assert len(seen) == 1 and not balancer.hot_keys.factoring
    seen = drive(balancer, random.Random(5), 2000, 2000, 0.3, first_id=400)
    assert balancer.hot_keys.factoring and len(seen) >= 5
    seen = drive(balancer, random.Random(6), 20000, 6000, 0.0, first_id=4000)
    assert not balancer.hot_keys.factoring and balancer.hot_keys.topk.historical == {}


def test_ordinary_keys_stay_at_home_while_factoring() -> None:
    balancer = make_balancer(20)
    drive(balancer, random.Random(5), 0, 2000, 0.3)
    assert balancer.hot_keys.factoring
    for i in range(50):
        key = make_key(10**10 + i)
        send = sends(balancer.handle(20000, make_request(10**6 + i, 20000, key=key)))[0]
        assert send.node == balancer.fleet.order(key)[0].id
        balancer.handle(20000, ok(send))


def test_the_spread_widens_stepwise_over_warm_nodes_only() -> None:
    """Guards against all instances switching at once to cold nodes and the origin."""
    balancer = make_balancer(20)
    cold = [Member(10**6 + i, ready_at_ms=1.0) for i in range(10)]
    balancer.handle(1, Membership(ListKind.DELTA, tuple(cold)))
    widths = []
    for step in range(8):
        seen = drive(balancer, random.Random(step), 250 * step, 50, 0.4, first_id=1000 * step)
        widths.append(len(seen))
        if balancer.hot_keys.factoring:
            assert not {m.node for m in cold} & set(seen) or widths[-1] <= 2
    assert widths[0] == 1
    spread = balancer.hot_keys.spread["00000000000000aa"][0]
    assert 1 < spread <= 12


def test_high_load_spreads_every_hot_key() -> None:
    balancer = make_balancer(4)
    drive(balancer, random.Random(5), 0, 1500, 0.1, gap=5)
    assert not balancer.hot_keys.factoring
    for i in range(60):
        balancer.handle(7500, make_request(10**6 + i, 7500))
    for i in range(4):
        balancer.handle(7750 + 250 * i, Timer("sample"))
    assert balancer.hot_keys.factoring and balancer.hot_keys.spread["00000000000000aa"][0] >= HIGH_LOAD_SPREAD


def test_a_node_far_above_its_share_is_skipped() -> None:
    balancer = make_balancer(8)
    key = make_key(1)
    first, second = (n.id for n in balancer.fleet.order(key)[:2])
    nodes = [sends(balancer.handle(0, make_request(i, 0, key=key)))[0].node for i in range(40)]
    assert nodes[0] == first
    assert second in nodes
    assert Counter(nodes)[first] < 40


def test_slow_kinds_lose_weight() -> None:
    balancer = make_balancer(0)
    members = tuple(Member(i, kind="x" if i % 2 else "y") for i in range(1, 11))
    balancer.handle(0, Membership(ListKind.FULL, members))
    number = 0
    for step in range(60):
        now = step * 250.0
        balancer.handle(now, Timer("sample"))
        for _ in range(10):
            number += 1
            send = sends(balancer.handle(now, make_request(number, now)))[0]
            balancer.handle(now + 1, ok(send, latency=10.0 if send.node % 2 else 30.0))
    assert balancer.fleet.kinds.weights["x"] > 2 * balancer.fleet.kinds.weights["y"]


def test_hedges_need_one_timer_however_late_it_fires() -> None:
    balancer = make_balancer(4)
    due: list[float] = []
    timer_count = 0
    for number in range(1, 2_000):
        now = float(number)
        actions = balancer.handle(now, make_request(number, now))
        if number > 3:
            balancer.handle(now, ok(sends(actions)[0])) if number % 2 else None
        timers = [a.at for a in actions if isinstance(a, SetTimer)]
        timer_count += len(timers)
        due += timers
        if number % 50 == 0:  # the timers fire late, all at once
            fired, due = [t for t in due if t <= now], [t for t in due if t > now]
            for _ in fired:
                again = [a.at for a in balancer.handle(now, Timer("second")) if isinstance(a, SetTimer)]
                timer_count += len(again)
                due += again
    assert 0 < timer_count < 200
    assert len(due) < 10


@pytest.mark.parametrize("count", [1, 2, 7, 48, 49, 130, 1_000])
def test_the_order_equals_that_of_individual_scores(count: int) -> None:
    rng = random.Random(count)
    sizes = (1.0, 1.0, 2.0, 16.0, 0.01)
    fleet = Fleet(make_settings())
    members = tuple(Member(rng.randrange(10**9), size=rng.choice(sizes)) for _ in range(count))
    fleet.update(0, Membership(ListKind.FULL, members))
    for number in range(2_000 // count + 20):
        name = f"{rng.randrange(2**64):x}" if number % 3 else f"canteen/{number}"
        hexadecimal = all(c in "0123456789abcdef" for c in name)
        key_hash = hash64(int(name, 16) if hexadecimal else hash64(name))
        scored = []
        for node in fleet.ready:
            x = ((key_hash ^ node.salt) * 0x9E3779B97F4A7C15) & MASK64
            x = ((x ^ (x >> 32)) * 0xD6E8FEB86659FD93) & MASK64
            scored.append((-math.log(((x >> 11) + 1) * 2.0**-53) / node.weight, node.id))
        order = [node for _, node in sorted(scored)]
        assert [n.id for n in fleet.rendezvous.rank(name, count)] == order
        assert [n.id for n in fleet.rendezvous.rank(name, HEAD_PLACES)] == order[:HEAD_PLACES]
    if fleet.rendezvous.hash_cutoffs:  # if too few nodes remain below the cutoff, all are scored
        fleet.rendezvous.hash_cutoffs = [MASK64] * count
        assert [n.id for n in fleet.rendezvous.rank(name, HEAD_PLACES)] == order[:HEAD_PLACES]


def test_a_write_goes_to_the_least_loaded_place_of_its_key() -> None:
    """No cached copy serves a write, so a queue at the home need not delay it."""
    balancer = make_balancer(8)
    key = make_key(5)
    order = [n.id for n in balancer.fleet.order(key)]
    first = [sends(balancer.handle(0, make_request(i, 0, "once", key, write=True)))[0].node for i in range(6)]
    assert first == order, "each place gets one, the home first"
    reads = [sends(balancer.handle(1, make_request(10 + i, 1, "read", key)))[0].node for i in range(2)]
    assert reads == order[:1] * 2, "a read still goes to its home"


def home_share(balancers: int, latency: float) -> float:
    """Returns the share of a key's requests that go to its home, which answers with the given latency; all
    others answer in 10 ms."""
    balancer = make_balancer(12, balancers=balancers)
    key, at_home = make_key(3), 0
    home = balancer.fleet.order(key)[0].id
    for i in range(200):
        now = 300.0 * i  # low traffic: never more than one in flight
        (send,) = sends(balancer.handle(now, make_request(i, now, key=key)))
        at_home += send.node == home
        balancer.handle(now, ok(send, latency=latency if send.node == home else 10.0))
        balancer.handle(now, make_request(1000 + i, now, key=make_key(50 + i)))
        balancer.handle(
            now, ok(Send(1000 + i, next(iter(balancer.pending[1000 + i].outstanding.values()))[0].id))
        )
    return at_home / 200


def test_the_load_bound_holds_over_many_instances() -> None:
    """Guards against a home that all instances together overload, each with at most one request in flight
    there."""
    assert home_share(40, 15.0) == 1.0, "slightly above its share is within the bound"
    assert 0.05 < home_share(40, 100.0) < 0.6
    assert home_share(300, 100.0) < 0.6
    assert home_share(3, 100.0) == 1.0, "few instances see it in their own counts"


def test_a_long_wait_reveals_overload_before_the_answer() -> None:
    """Guards against noticing overload only when the first requests time out."""
    balancer = make_balancer(12, balancers=40)
    fleet, key = balancer.fleet, make_key(3)
    for i in range(10):
        (send,) = sends(balancer.handle(0, make_request(i, 0, key=make_key(60 + i))))
        balancer.handle(10, ok(send))
    (send,) = sends(balancer.handle(20, make_request(20, 20, key=key)))
    home = fleet.nodes[send.node]
    assert not fleet.crowded(home, 30, 0.99) and fleet.crowded(home, 120, 0.99)
    assert fleet.slowness(home, 120) > 5
    balancer.handle(125, Outcome(20, 0, send.node, Status.TIMEOUT, 105, True))
    assert not home.outstanding and fleet.crowded(home, 130, 0.99)
    assert not fleet.crowded(home, 30_000, 0.99), "a node without requests is retried"


def test_a_write_avoids_the_largest_place_if_it_is_slow() -> None:
    """Guards against many instances that all write to one slow node, none with a request in flight there."""
    for balancers, moves in ((40, True), (3, False)):
        balancer = make_balancer(12, balancers=balancers)
        fleet, key = balancer.fleet, make_key(3)
        places = fleet.order(key)
        best = places[0]
        best.weight *= 1.5
        fleet.class_latency_ms["once"] = 10.0
        for i in range(3):
            (send,) = sends(balancer.handle(10 * i, make_request(i, 10 * i, "once", key, write=True)))
            balancer.handle(10 * i + 1, ok(send, latency=200.0 if send.node == best.id else 10.0))
        (last,) = sends(balancer.handle(40, make_request(9, 40, "once", key, write=True)))
        assert (last.node != best.id) is moves and last.node in {n.id for n in places}
