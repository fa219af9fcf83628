"""Fair queue of a gate: shares of saturated kinds, order within a kind, entries that leave the queue early."""

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


def run_in_loop(work: Callable[[asyncio.AbstractEventLoop], None]) -> None:
    async def run() -> None:
        work(asyncio.get_running_loop())

    asyncio.run(run())


def served_while_saturated(
    demand: dict[RequestKind, int], rounds: int, relative_costs: dict[RequestKind, float] | None = None
) -> Counter[RequestKind]:
    """Return how many entries of each kind are served while `demand` entries of it always wait.

    The first kind in `demand` is the most urgent.
    """
    served: Counter[RequestKind] = Counter()

    def work(loop: asyncio.AbstractEventLoop) -> None:
        queue, kinds = FairQueue(lambda kind: (relative_costs or {}).get(kind, 1.0)), {}
        due_offsets = {kind: float(place) for place, kind in enumerate(demand)}

        def push(kind: RequestKind, at: float) -> None:
            entry: Entry = loop.create_future()
            kinds[entry] = kind
            queue.push(kind, at + 10 * due_offsets[kind], entry)

        for kind, size in demand.items():
            for _ in range(size):
                push(kind, 0.0)
        for turn in range(rounds):
            entry = queue.pop()
            assert entry is not None
            entry.set_result(None)
            served[kinds[entry]] += 1
            push(kinds[entry], turn * 0.01)

    run_in_loop(work)
    return served


def test_saturated_kinds_get_equal_shares_regardless_of_urgency() -> None:
    served = served_while_saturated({SHORT: 20, LONG: 1, RequestKind(1, 5000): 3}, 300)
    assert all(95 <= count <= 105 for count in served.values())


def test_shares_are_measured_in_service_time() -> None:
    served = served_while_saturated({SHORT: 10, LONG: 10}, 500, {SHORT: 0.5, LONG: 2.0})
    assert 395 <= served[SHORT] <= 405


def test_calls_get_three_times_the_share_of_another_kind() -> None:
    served = served_while_saturated({CALL: 10, SHORT: 10}, 400)
    assert 295 <= served[CALL] <= 305


def test_a_kind_whose_queue_empties_gains_no_advantage() -> None:
    """The urgent kind has one entry at a time, so its flow is empty at each push while the other kind waits."""

    def work(loop: asyncio.AbstractEventLoop) -> None:
        queue, least_urgent = FairQueue(), loop.create_future()
        queue.push(LONG, 1000.0, least_urgent)
        for turn in range(10):
            queue.push(SHORT, float(turn), loop.create_future())
            if queue.pop() is least_urgent:
                assert turn == 2
                return
        raise AssertionError("the less urgent entry was never served")

    run_in_loop(work)


def test_the_earliest_due_entry_is_first_while_no_kind_lags() -> None:
    def work(loop: asyncio.AbstractEventLoop) -> None:
        queue = FairQueue()
        late, soon, sooner = loop.create_future(), loop.create_future(), loop.create_future()
        queue.push(LONG, 3.0, late)
        queue.push(SHORT, 2.0, soon)
        queue.push(SHORT, 1.0, sooner)
        assert [queue.pop(), queue.pop(), queue.pop(), queue.pop()] == [sooner, soon, late, None]

    run_in_loop(work)


@pytest.mark.parametrize("seed", range(20))
def test_waiting_and_running_counts_return_to_zero(seed: int) -> None:
    """Requests are admitted, time out, are cancelled and are refused at random moments."""

    async def run() -> None:
        rng, admission = random.Random(seed), Admission()
        admission.capacity = 2
        outcomes: Counter[str] = Counter()

        async def request(kind: RequestKind) -> None:
            try:
                await admission.acquire(kind, rng.random(), rng.choice([6.0, 12.0, 30.0]))
            except NotAdmitted as refusal:
                outcomes[refusal.reason.name] += 1
                return
            except asyncio.CancelledError:
                outcomes["cancelled"] += 1
                raise
            outcomes["admitted"] += 1
            try:
                await asyncio.sleep(0.001)
            finally:
                admission.release(kind, 0.001)

        tasks: list[asyncio.Task[Any]] = []
        for _ in range(120):
            tasks.append(asyncio.ensure_future(request(rng.choice([SHORT, LONG, CALL]))))
            if rng.random() < 0.2:
                rng.choice(tasks).cancel()
            if rng.random() < 0.05:
                admission.refuse_all(NotTakenReason.DRAINING)
            if rng.random() < 0.5:
                await asyncio.sleep(0)
        await asyncio.wait(tasks)
        assert (admission.waiting, admission.running) == (0, 0)
        unexpected = [task for task in tasks if not task.cancelled() and task.exception() is not None]
        assert unexpected == []

    loop = VirtualLoop()
    loop.run_until_complete(run())
    loop.end()
    loop.close()
