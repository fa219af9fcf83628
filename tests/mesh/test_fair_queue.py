"""The queue at a gate: shares of kinds that wait for long, order within them, and what leaves the queue early."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from lupinreach.bed.ways.loop import VirtualLoop
from lupinreach.mesh.errors import NotTakenReason
from lupinreach.mesh.proxy.admission import Admission, NotAdmitted
from lupinreach.mesh.proxy.fair_queue import Entry, FairQueue
from lupinreach.mesh.proxy.request_kind import CALL, RequestKind

SHORT, LONG = RequestKind(2, 400), RequestKind(0, 1000)


def in_loop(work: Callable[[asyncio.AbstractEventLoop], None]) -> None:
    async def run() -> None:
        work(asyncio.get_running_loop())

    asyncio.run(run())


def taken_while_full(
    demand: dict[RequestKind, int], rounds: int, costs: dict[RequestKind, float] | None = None
) -> Counter[RequestKind]:
    """Turns of each kind while it has so many entries waiting at any time; the first named is the most urgent."""
    taken: Counter[RequestKind] = Counter()

    def work(loop: asyncio.AbstractEventLoop) -> None:
        queue, kinds = FairQueue(lambda kind: (costs or {}).get(kind, 1.0)), {}
        urgency = {kind: float(place) for place, kind in enumerate(demand)}

        def push(kind: RequestKind, at: float) -> None:
            entry: Entry = loop.create_future()
            kinds[entry] = kind
            queue.push(kind, at + 10 * urgency[kind], entry)

        for kind, size in demand.items():
            for _ in range(size):
                push(kind, 0.0)
        for turn in range(rounds):
            entry = queue.pop()
            assert entry is not None
            entry.set_result(None)
            taken[kinds[entry]] += 1
            push(kinds[entry], turn * 0.01)

    in_loop(work)
    return taken


def test_kinds_that_always_wait_share_alike_whatever_their_urgency() -> None:
    taken = taken_while_full({SHORT: 20, LONG: 1, RequestKind(1, 5000): 3}, 300)
    assert all(95 <= count <= 105 for count in taken.values())


def test_shares_are_of_the_time_at_work() -> None:
    taken = taken_while_full({SHORT: 10, LONG: 10}, 500, {SHORT: 0.5, LONG: 2.0})
    assert 395 <= taken[SHORT] <= 405


def test_calls_have_three_turns_to_one_of_any_other_kind() -> None:
    taken = taken_while_full({CALL: 10, SHORT: 10}, 400)
    assert 295 <= taken[CALL] <= 305


def test_a_kind_that_empties_between_turns_gains_nothing_by_it() -> None:
    """The urgent kind has one entry at a time: each newcomer finds its lane empty, while the other waits."""

    def work(loop: asyncio.AbstractEventLoop) -> None:
        queue, patient = FairQueue(), loop.create_future()
        queue.push(LONG, 1000.0, patient)
        for turn in range(10):
            queue.push(SHORT, float(turn), loop.create_future())
            if queue.pop() is patient:
                assert turn == 2
                return
        raise AssertionError("never its turn")

    in_loop(work)


def test_while_nothing_falls_behind_the_most_urgent_goes_first() -> None:
    def work(loop: asyncio.AbstractEventLoop) -> None:
        queue = FairQueue()
        late, soon, sooner = loop.create_future(), loop.create_future(), loop.create_future()
        queue.push(LONG, 3.0, late)
        queue.push(SHORT, 2.0, soon)
        queue.push(SHORT, 1.0, sooner)
        assert [queue.pop(), queue.pop(), queue.pop(), queue.pop()] == [sooner, soon, late, None]

    in_loop(work)


@pytest.mark.parametrize("seed", range(20))
def test_whatever_leaves_and_when_the_count_of_what_waits_is_kept(seed: int) -> None:
    """Entries are let in, run out, are cancelled and are turned away at random moments."""

    async def run() -> None:
        chance, admission = random.Random(seed), Admission()
        admission.capacity = 2
        ends: Counter[str] = Counter()

        async def ask(kind: RequestKind) -> None:
            try:
                await admission.enter(kind, chance.random(), chance.choice([6.0, 12.0, 30.0]))
            except NotAdmitted as refused:
                ends[refused.reason.name] += 1
                return
            except asyncio.CancelledError:
                ends["cancelled"] += 1
                raise
            ends["in"] += 1
            try:
                await asyncio.sleep(0.001)
            finally:
                admission.leave(kind, 0.001)

        tasks: list[asyncio.Task[Any]] = []
        for _ in range(120):
            tasks.append(asyncio.ensure_future(ask(chance.choice([SHORT, LONG, CALL]))))
            if chance.random() < 0.2:
                chance.choice(tasks).cancel()
            if chance.random() < 0.05:
                admission.refuse_all(NotTakenReason.DRAINING)
            if chance.random() < 0.5:
                await asyncio.sleep(0)
        await asyncio.wait(tasks)
        assert (admission.waiting, admission.running) == (0, 0)
        faults = [task for task in tasks if not task.cancelled() and task.exception() is not None]
        assert faults == []

    loop = VirtualLoop()
    loop.run_until_complete(run())
    loop.end()
    loop.close()
