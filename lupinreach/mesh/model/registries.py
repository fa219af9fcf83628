"""Registries and operators of evacuations, as part of a randomized history.

Each operator has a zone and one order at a time. It turns to another registry after a failure or a second of silence and
leaves its connection open, so that a registry that stood still finds the order and can't tell that it was given up.
Registries freeze, are killed, learn of documents late, and reach stores late.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgpack

from lupinreach.mesh.arrival import ITERATIONS_UNTIL_HANDLED, MARK_INTERVAL_S, ArrivalClock
from lupinreach.mesh.messages import Order, OrderResult, decode, encode
from lupinreach.mesh.model.invariants import EvacuationChecker
from lupinreach.mesh.registry.operator_order import ORDER_TIMEOUT_S, OperatorOrder
from lupinreach.mesh.registry.orders import RETRY_INTERVAL_S
from lupinreach.mesh.store.document import Document, OrderKind
from lupinreach.mesh.store.replica import Replica

ZONES = ("z0", "z1")
SILENCE_S = 1.0  # after which an operator turns to another registry
GIVE_UP_RANGE_S = (0.0, 4.0)  # after which an operator no longer sends an order
PAUSE_RANGE_S = (0.0, 1.5)  # from the end of an order to the next one
FIRST_ORDER_AT_S = 6.0
FAULT_PAUSE_RANGE_S = (0.3, 3.0)
# From the end of a freeze until the process has read what came meanwhile, which takes it four iterations.
WAKE_UP_RANGE_S = (0.0, 4 * MARK_INTERVAL_S)
STALE_PRIMARY_PROBABILITY = 0.1  # that a registry takes a store for the primary that is not


class StoreProcess(Protocol):
    """A store of the history."""

    replica: Replica | None
    frozen_until: float


class StoreGroup(Protocol):
    """The history that registries and operators are part of."""

    now: float
    hosts: list[str]
    stores: Mapping[str, StoreProcess]

    def schedule(self, delay: float, action: Any, *args: Any) -> None:
        """Schedule a call after a delay in seconds."""

    def run_step(self, store: Any, action: Any, *args: Any) -> None:
        """Run a step of a store's process, which may die in it."""


class Call:
    """An operator's call at a registry."""

    def __init__(
        self, order: OperatorOrder | None, kind: OrderKind, zone: str, reply: Callable[[bool], None]
    ):
        self.order = order
        self.kind, self.zone = kind, zone
        self._reply = reply
        self.answered = False

    def answer(self, confirmed: bool) -> None:
        """Answer it, once."""
        if not self.answered:
            self.answered = True
            self._reply(confirmed)


class SimulatedRegistry:
    """The process of one registry. What belongs to an earlier life of it is dropped."""

    def __init__(self, group: EvacuationSimulation, name: str) -> None:
        self._group = group
        self._history = group.history
        self.name = name
        self.life = 0
        self.running = True
        self.known_sequence = 0
        self._frozen_from = self._frozen_until = 0.0
        self._calls: list[Call] = []
        self._start_clock()

    def _start_clock(self) -> None:
        self._clock = ArrivalClock(self._history.now)
        self._marked_at = self._history.now

    def _mark_arrivals(self) -> None:
        """Add the marks that the process has made since the last call; a frozen process makes none."""
        now = self._history.now
        at = max(self._marked_at, now - 2 * ITERATIONS_UNTIL_HANDLED * MARK_INTERVAL_S)
        while (at := at + MARK_INTERVAL_S) < now:
            if not self._frozen_from <= at < self._frozen_until:
                self._clock.mark(at)
                self._marked_at = at

    # Faults.

    def freeze(self, seconds: float) -> None:
        """Stop the process for a while, if it runs."""
        if self._history.now < self._frozen_until:
            return
        self._mark_arrivals()
        self._frozen_from = self._history.now
        self._frozen_until = self._history.now + seconds

    def kill(self, down_s: float) -> None:
        """End the process, which resets its connections, and start it again."""
        self.running = False
        self.life += 1
        calls, self._calls = self._calls, []
        for call in calls:
            self._group.schedule_soon(call.answer, False)
        self._history.schedule(down_s, self._restart)

    def _restart(self) -> None:
        self.running = True
        self.known_sequence = 0
        self._frozen_from = self._frozen_until = 0.0
        self._start_clock()

    # Input.

    def receive(self, life: int, action: Callable[..., None], *args: Any) -> None:
        """Run a step of the process, once it runs; a step of an earlier life is dropped."""
        if life != self.life or not self.running:
            return
        if self._history.now < self._frozen_until:
            wake_up_s = self._group.chance.uniform(*WAKE_UP_RANGE_S)
            delay_s = self._frozen_until - self._history.now + wake_up_s
            self._history.schedule(delay_s, self.receive, life, action, *args)
            return
        self._mark_arrivals()
        action(*args)

    def learn_sequence(self, sequence: int) -> None:
        """Learn of a committed document."""
        self.known_sequence = max(self.known_sequence, sequence)

    def on_call(self, call: Call) -> None:
        """Read an operator's call."""
        self._calls.append(call)
        deadline = self._clock.arrived_after() + ORDER_TIMEOUT_S
        call.order = OperatorOrder(call.kind, deadline, zone=call.zone, known_sequence=self.known_sequence)
        self._send(call)

    def _send(self, call: Call) -> None:
        """Send the order of a call to the primary store, unless its deadline has passed."""
        assert call.order is not None
        if call.order.expired(self._history.now):
            self._answer(call, False)
            return
        store = self._group.choose_primary()
        if store is None:
            call.order.no_primary()
            self._history.schedule(RETRY_INTERVAL_S, self.receive, self.life, self._send, call)
            return
        number = self._group.next_number()
        self._group.send_order(self, store, call.order.message(number), call)
        remaining_s = call.order.deadline - self._history.now
        self._history.schedule(remaining_s, self.receive, self.life, self._answer, call, False)

    def on_result(self, call: Call, result: OrderResult) -> None:
        """Process the result of an order."""
        assert call.order is not None
        if call.answered:
            return
        outcome = call.order.on_result(result)
        if outcome is not None:
            self._answer(call, outcome.is_ok())
            return
        pause_s = 0.0 if call.order.may_resend_at_once else RETRY_INTERVAL_S
        self._history.schedule(pause_s, self.receive, self.life, self._send, call)

    def _answer(self, call: Call, confirmed: bool) -> None:
        if call in self._calls:
            self._calls.remove(call)
            self._group.schedule_soon(call.answer, confirmed)


class Operator:
    """Starts and stops the evacuation of one zone, in random order."""

    def __init__(self, group: EvacuationSimulation, zone: str) -> None:
        self._group = group
        self._zone = zone
        self._active = False
        self._attempt = 0
        self._gives_up_at = 0.0

    def next_order(self) -> None:
        """Begin a new order."""
        if self._group.calm:
            return
        self._active = self._group.chance.random() < 0.5
        self._gives_up_at = self._group.history.now + self._group.chance.uniform(*GIVE_UP_RANGE_S)
        self._group.checker.on_sent(self._zone)
        self._call()

    def _call(self) -> None:
        self._attempt += 1
        attempt = self._attempt
        self._group.history.schedule(SILENCE_S, self._on_end, attempt, False)
        kind = OrderKind.START_EVACUATION if self._active else OrderKind.STOP_EVACUATION
        self._group.call(Call(None, kind, self._zone, lambda confirmed: self._on_end(attempt, confirmed)))

    def _on_end(self, attempt: int, confirmed: bool) -> None:
        """A call was answered, failed, or has been silent for too long; late answers are ignored."""
        if attempt != self._attempt:
            return
        if confirmed:
            self._group.checker.on_confirmed(self._zone, self._active)
        elif self._group.history.now < self._gives_up_at:
            self._call()
            return
        self._attempt += 1
        self._group.history.schedule(self._group.chance.uniform(*PAUSE_RANGE_S), self.next_order)


class EvacuationSimulation:
    """The registries and operators of a history, with random numbers of their own."""

    def __init__(
        self,
        history: StoreGroup,
        seed: int,
        quiet_from: float,
        max_delay_s: float,
        delayed_fraction: float,
    ) -> None:
        self.history = history
        self._max_delay_s = max_delay_s
        self._delayed_fraction = delayed_fraction
        self.chance = random.Random(f"evacuations {seed}")
        self.checker = EvacuationChecker()
        self._quiet_from = quiet_from
        self._numbers = 0
        self.registries = [SimulatedRegistry(self, f"r{i}") for i in range(len(history.hosts))]
        for zone in ZONES:
            history.schedule(FIRST_ORDER_AT_S, Operator(self, zone).next_order)
        history.schedule(FIRST_ORDER_AT_S, self._inject_fault)

    @property
    def calm(self) -> bool:
        """Whether the last part of the history has begun, without new orders and faults."""
        return self.history.now >= self._quiet_from

    def next_number(self) -> int:
        """A new number of an order."""
        self._numbers += 1
        return self._numbers

    def schedule_soon(self, action: Callable[..., None], *args: Any) -> None:
        """Schedule a call after an ordinary delay on a network."""
        self.history.schedule(self.chance.uniform(0.001, 0.02), action, *args)

    def call(self, call: Call) -> None:
        """Make an operator's call at a random registry."""
        registry = self.chance.choice(self.registries)
        if not registry.running:
            self.schedule_soon(call.answer, False)
            return
        self.schedule_soon(registry.receive, registry.life, registry.on_call, call)

    def choose_primary(self) -> StoreProcess | None:
        """The store that a registry takes for the primary."""
        stores = [store for store in self.history.stores.values() if store.replica is not None]
        serving = [store for store in stores if store.replica is not None and store.replica.serving]
        if self.chance.random() < STALE_PRIMARY_PROBABILITY:
            serving = stores
        return self.chance.choice(serving) if serving else None

    def send_order(self, registry: SimulatedRegistry, store: StoreProcess, order: Order, call: Call) -> None:
        """Send an order to a store, sometimes late or twice; its result goes back to the registry's process."""
        life = registry.life

        def reply(result: OrderResult) -> None:
            self.schedule_soon(registry.receive, life, registry.on_result, call, result)

        data = encode(order)
        delayed = not self.calm and self.chance.random() < self._delayed_fraction
        arguments = (store, store.replica, data, reply)
        if delayed:
            for _ in range(self.chance.choice([1, 2])):
                delay_s = self.chance.uniform(0.0, self._max_delay_s)
                self.history.schedule(delay_s, self._deliver_order, *arguments)
        else:
            self.schedule_soon(self._deliver_order, *arguments)

    def _deliver_order(
        self, store: StoreProcess, replica: Any, data: bytes, reply: Callable[[OrderResult], None]
    ) -> None:
        if store.replica is not replica:
            return  # the link closed when the receiving process ended
        if self.history.now < store.frozen_until:
            delay_s = store.frozen_until - self.history.now
            self.history.schedule(delay_s, self._deliver_order, store, replica, data, reply)
            return
        self.history.run_step(store, replica.submit, decode(msgpack.unpackb(data)), reply)

    def on_published(self, stamp: list[int], document: Document) -> None:
        """A primary publishes a committed document: check it and tell the registries."""
        self.checker.on_published(stamp, document)
        for registry in self.registries:
            self.schedule_soon(registry.receive, registry.life, registry.learn_sequence, document.sequence)

    def check_final(self, document: Document) -> None:
        """Check the document that is served at the end."""
        self.checker.check_document(document, "the end")

    def _inject_fault(self) -> None:
        if self.calm:
            return
        self.history.schedule(self.chance.uniform(*FAULT_PAUSE_RANGE_S), self._inject_fault)
        registry = self.chance.choice(self.registries)
        if not registry.running:
            return
        if self.chance.random() < 0.3:
            registry.kill(self.chance.uniform(0.1, 1.5))
        else:
            registry.freeze(self.chance.uniform(0.2, 5.0))
