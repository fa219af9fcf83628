"""Checks the rules of a run from its ledger alone, and finds violations. Free of I/O."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from typing import Any

from lupinreach.bed.peers.backend import COLD_LOAD_TOLERANCE
from lupinreach.bed.world.ledger import Record
from lupinreach.bed.world.spec import ProductSpec, World
from lupinreach.model import DedupScope, Idempotency

MESSAGE_SLACK_MS = 50.0  # added to each time limit for the delivery of messages
# A rejection later than HELD_AFTER_SHARE of the client's timeout counts as held back, if no attempt has been in
# flight since HELD_IDLE_SHARE of it.
HELD_AFTER_SHARE = 0.9
HELD_IDLE_SHARE = 0.5
RULES = ("answered", "effects", "drains", "cold", "held", "lives", "faults")


@dataclass(frozen=True)
class Violation:
    """One violation of a rule."""

    rule: str  # one of RULES
    name: str  # the kind of violation
    at: float  # ms
    what: str  # details


@dataclass
class Attempt:
    """One attempt of an agent to have a request answered by a backend."""

    sent: float
    backend: int
    ended: float = inf  # when the backend rejected or failed it
    ran_at: list[float] = field(default_factory=list)  # when it had an effect


@dataclass
class RequestRecord:
    """One request of a client, as recorded in the ledger. Times are in ms."""

    call: int
    agent: int
    product: ProductSpec
    at: float
    timeout: float
    answer: tuple[float, int, str] | None = None  # time, status, request id in the body
    timed_out_at: float = inf
    connection_lost: tuple[float, str] | None = None
    attempts: list[Attempt] = field(default_factory=list)
    reached: float = inf  # when a relay, if there is one, passed it on to its agent
    replied: float = inf  # when the relay received the first bytes of the answer

    @property
    def ended_at(self) -> float:
        """When the client stopped waiting for the answer; infinite if it never did."""
        return min(
            self.answer[0] if self.answer else inf,
            self.timed_out_at,
            self.connection_lost[0] if self.connection_lost else inf,
        )


class Checker:
    """Finds the violations in the records of a run, in one pass."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._products = {p.name: p for p in world.products}
        self.violations: list[Violation] = []
        self._relayed = False  # a relay between clients and agents has written records
        self.undelivered: list[
            str
        ] = []  # requests without an answer because of the relay between client and agent
        self.requests: dict[str, RequestRecord] = {}
        self._kills: dict[int, list[tuple[float, float]]] = defaultdict(
            list
        )  # by agent: time of each kill, and of the next start
        self._paused: dict[int, list[tuple[float, float]]] = defaultdict(
            list
        )  # by agent: intervals in which its event loop was blocked
        # By agent and incarnation: since when it has known each backend as not ready; ready ones are absent.
        self._not_ready_since: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)
        self._listed: dict[tuple[int, int], set[int]] = defaultdict(set)
        self._unreachable: dict[int, list[tuple[float, float]]] = defaultdict(
            list
        )  # by agent: intervals in which it received nothing
        self._highest_version: dict[int, int] = defaultdict(
            int
        )  # by agent: highest list version that it received
        self._cold_starts: dict[
            int, tuple[float, float, float, float]
        ] = {}  # by backend: time of its start, warm capacity, cold ms, starting share
        self._zone_and_cell: dict[int, tuple[int, int]] = {}  # by backend
        self._cold_arrivals: dict[int, deque[tuple[float, float]]] = defaultdict(deque)
        self._cold_load: Counter[int] = Counter()
        self._known_incarnations: set[tuple[int, int, int]] = set()  # agent and its incarnation
        self._overloaded: set[tuple[int, float]] = set()

    def _add_violation(self, rule: str, name: str, at: float, what: str) -> None:
        self.violations.append(Violation(rule, name, round(at, 3), what))

    def read(self, records: Iterable[Record]) -> list[Violation]:
        """All violations, ordered by time."""
        for record in records:
            handle = getattr(self, "_on_" + record[0], None)
            if handle is not None:
                handle(record[1] / 1000, *record[2:])
        for name, request in self.requests.items():
            self._check(name, request)
        self.violations.sort(key=lambda b: b.at)
        return self.violations

    # Handlers by record kind.

    def _on_asked(
        self,
        at: float,
        name: str,
        call: int,
        number: int,
        agent: int,
        product: str,
        customer: str,
        work: float,
        timeout: float,
    ) -> None:
        self.requests[name] = RequestRecord(call, agent, self._products[product], at, timeout)

    def _on_got(self, at: float, name: str, status: int, retry_after: float, answered_request: str) -> None:
        request = self.requests[name]
        if request.answer is not None:
            self._add_violation("answered", "answered twice", at, f"{name} at agent {request.agent}")
        else:
            request.answer = at, status, answered_request

    def _on_extra(self, at: float, name: str) -> None:
        self._add_violation("answered", "answered twice", at, f"bytes after the answer to {name}")

    def _on_left(self, at: float, name: str) -> None:
        self.requests[name].timed_out_at = at

    def _on_lost(self, at: float, name: str, why: str) -> None:
        self.requests[name].connection_lost = at, why

    def _on_reached(self, at: float, name: str) -> None:
        self._relayed = True
        self.requests[name].reached = min(at, self.requests[name].reached)

    def _on_replied(self, at: float, name: str) -> None:
        self.requests[name].replied = min(at, self.requests[name].replied)

    def _on_agent(self, at: float, agent: int, incarnation: int, what: str) -> None:
        if what == "killed":
            self._kills[agent].append((at, inf))
        elif what == "started" and self._kills[agent] and self._kills[agent][-1][1] == inf:
            self._kills[agent][-1] = self._kills[agent][-1][0], at

    def _on_trouble(self, at: float, number: int, kind: str, what: str, targets: list[int]) -> None:
        trouble = self._world.troubles[number]
        if kind in ("busy-agents", "sleep-agents") and what == "begins":
            for agent in targets:
                self._paused[agent].append(
                    (at, at + trouble.length + max(trouble.strength, MESSAGE_SLACK_MS))
                )
        elif kind == "deaf-agents" and what == "begins":
            for agent in targets:
                self._unreachable[agent].append((at, at + trouble.length + MESSAGE_SLACK_MS))
        elif kind == "sleep-agents":
            for agent in targets:  # a process may be suspended for longer than planned
                self._paused[agent].append((at - MESSAGE_SLACK_MS, at + MESSAGE_SLACK_MS))

    def _on_told(
        self,
        at: float,
        agent: int,
        incarnation: int,
        version: int,
        entries: list[tuple[int, str]],
        whole: bool,
    ) -> None:
        not_ready_since, listed = self._not_ready_since[agent, incarnation], self._listed[agent, incarnation]
        listed_now = set()
        ready = {backend for backend, state in entries if state == "Ready"}
        for backend, _ in entries:
            listed_now.add(backend)
            listed.add(backend)
            # A backend that was replaced between two lists has two entries: the removed process and its successor.
            if backend in ready:
                not_ready_since.pop(backend, None)
            else:
                not_ready_since.setdefault(backend, at)
        # A registry may restart with an older list. What such a list doesn't contain was not removed by it.
        if whole and version >= self._highest_version[agent]:
            for backend in listed - listed_now:
                not_ready_since.setdefault(backend, at)
        self._highest_version[agent] = max(version, self._highest_version[agent])

    def _on_sent(self, at: float, agent: int, incarnation: int, backend: int, name: str) -> None:
        since = self._not_ready_since[agent, incarnation].get(backend)
        if since is not None and at > since + self._world.rules.drain_grace + MESSAGE_SLACK_MS:
            self._add_violation(
                "drains",
                "sent to draining",
                at,
                f"{name} to backend {backend}, {at - since:.0f} ms after agent {agent} was told",
            )
        elif backend not in self._listed[agent, incarnation]:
            self._add_violation(
                "drains", "sent to unlisted", at, f"{name} to backend {backend} by agent {agent}"
            )
        request = self.requests.get(name)
        if request is None:
            self._add_violation("answered", "sent unasked", at, f"{name} to backend {backend}")
            return
        if at > request.ended_at + MESSAGE_SLACK_MS:
            self._add_violation("answered", "sent after the answer", at, f"{name} to backend {backend}")
        request.attempts.append(Attempt(at, backend))

    def _on_away(self, at: float, backend: int, name: str) -> None:
        for attempt in self._matching_attempt(name, backend):
            attempt.ended = min(attempt.ended, at)

    def _on_ran(self, at: float, backend: int, name: str, effect: bool) -> None:
        # The attempt stays in flight: its work is done, but its answer may not have arrived.
        for attempt in self._matching_attempt(name, backend):
            if effect:
                attempt.ran_at.append(at)

    def _on_failed(self, at: float, backend: int, name: str) -> None:
        self._on_away(at, backend, name)

    def _matching_attempt(self, name: str, backend: int) -> list[Attempt]:
        """The oldest attempt of this request at this backend without an outcome, or else the newest; at most one."""
        matching = (
            [s for s in self.requests[name].attempts if s.backend == backend] if name in self.requests else []
        )
        return ([s for s in matching if s.ended == inf and not s.ran_at] or matching[-1:])[:1]

    def _on_said(self, at: float, agent: int, event: str, fields: dict[str, Any]) -> None:
        if event == "asked":
            incarnation = (
                agent if agent >= 0 else -1 - agent,
                *fields["life"],
            )  # a second process has a negative number
            if incarnation in self._known_incarnations:
                self._add_violation(
                    "lives", "life twice", at, f"agent {incarnation[0]}, life {incarnation[1]}"
                )
            self._known_incarnations.add(incarnation)

    def _on_fault(self, at: float, what: str) -> None:
        self._add_violation("faults", "fault", at, what)

    # Cold backends: their load is recomputed from the records, independently of the models.

    def _on_state(
        self,
        at: float,
        backend: int,
        incarnation: int,
        state: str,
        capacity: float,
        cold: float,
        start: float,
        zone: int,
        cell: int,
    ) -> None:
        self._zone_and_cell[backend] = zone, cell
        if state == "Ready":
            self._cold_starts[backend] = at, capacity, cold, start
            self._cold_arrivals[backend].clear()
            self._cold_load[backend] = 0

    def _on_came(self, at: float, backend: int, incarnation: int, name: str, work: float) -> None:
        booted, capacity, cold, start = self._cold_starts.get(backend, (0.0, 0.0, 0.0, 1.0))
        if not cold or at >= booted + cold:
            return
        rules, arrivals = self._world.rules, self._cold_arrivals[backend]
        arrivals.append((at, work))
        self._cold_load[backend] += work  # type: ignore[assignment]
        while arrivals[0][0] <= at - rules.fall:
            self._cold_load[backend] -= arrivals.popleft()[1]  # type: ignore[assignment]
        warm_fraction = start + (1 - start) * (at - booted) / cold
        if (
            self._cold_load[backend]
            > COLD_LOAD_TOLERANCE * rules.fall_multiple * capacity * warm_fraction * rules.fall + 1e-6
        ):
            if (backend, booted) not in self._overloaded:
                self._overloaded.add((backend, booted))
                self._add_violation(
                    "cold", "cold pushed over", at, f"backend {backend}, {at - booted:.0f} ms after its start"
                )

    # Checks of each request, after all records.

    def _check(self, name: str, request: RequestRecord) -> None:
        self._check_answer(name, request)
        self._check_effects(name, request)

    def _check_answer(self, name: str, request: RequestRecord) -> None:
        if request.answer is not None:
            at, status, answered_request = request.answer
            if status == 200 and answered_request != name:
                self._add_violation(
                    "answered",
                    "another call's answer",
                    at,
                    f"{name} got what belongs to {answered_request or '?'}",
                )
            # Connections that are never established take up to the connect timeout and leave no record.
            connect_ms = self._world.limits.shots * self._world.limits.connect_timeout + MESSAGE_SLACK_MS
            if status != 200 and at - request.at > max(HELD_AFTER_SHARE * request.timeout, connect_ms):
                since = request.at + HELD_IDLE_SHARE * request.timeout
                excused = any(begin <= at and request.at <= end for begin, end in self._paused[request.agent])
                # The client may have resent it, under the same id, to an incarnation that started after the request.
                excused = excused or any(request.at < back <= at for _, back in self._kills[request.agent])
                # The agent may not have received the outcomes of its attempts.
                excused = excused or any(
                    begin <= at and request.at <= end for begin, end in self._unreachable[request.agent]
                )
                if not excused and all(s.ended < since for s in request.attempts):
                    self._add_violation(
                        "held", "held", at, f"{name}, refused {at - request.at:.0f} ms after it was asked"
                    )
            return
        ended_at = request.ended_at
        if request.connection_lost is not None and (
            request.connection_lost[1] == "refused" or (self._relayed and request.reached == inf)
        ):
            return  # never accepted: a relay accepts connections for an agent that was just killed, then resets them
        if any(
            request.at < back and killed <= ended_at + MESSAGE_SLACK_MS
            for killed, back in self._kills[request.agent]
        ):
            return  # in flight at an agent that was killed, or sent while it was down: up to the client to retry
        if any(begin <= ended_at <= end for begin, end in self._paused[request.agent]):
            return  # the agent's event loop was blocked
        if ended_at < inf and self._delayed_by_relay(request):
            self.undelivered.append(name)
        elif ended_at < inf:
            why = (
                f"the connection {request.connection_lost[1]}"
                if request.connection_lost
                else "the client timeout passed"
            )
            self._add_violation("answered", "no answer", ended_at, f"{name} at agent {request.agent}: {why}")

    def _delayed_by_relay(self, request: RequestRecord) -> bool:
        """Whether the agent answered in time, or was reached too late to: then the relay caused the missing answer."""
        if request.reached == inf:
            return False
        return (
            request.replied <= request.reached + request.timeout
            or request.reached - request.at > self._world.rules.answer_slack
        )

    def _check_effects(self, name: str, request: RequestRecord) -> None:
        effect_times = sorted(t for s in request.attempts for t in s.ran_at)
        kind = request.product.kind
        if kind is Idempotency.IDEMPOTENT:
            return
        if len(effect_times) > 1:
            effective = [s for s in request.attempts if s.ran_at]
            send_gap_ms = max(s.sent for s in effective) - min(s.sent for s in effective)
            what = "effect twice"
            if kind is Idempotency.DEDUPLICATED:
                # Counted from when attempts were sent: one that a network fault delays for longer breaks no rule.
                what = (
                    "effect twice past the memory"
                    if send_gap_ms >= request.product.memory
                    else "effect twice outside the group"
                    if len({self._dedup_group(request, s) for s in effective}) > 1
                    else ""
                )
            if what:
                self._add_violation(
                    "effects",
                    what,
                    effect_times[1],
                    f"{name} ({request.product.name}), {send_gap_ms:.0f} ms apart",
                )
        shared = kind is Idempotency.DEDUPLICATED and request.product.group is DedupScope.ALL
        if effect_times and request.answer is not None and request.answer[1] in (429, 503) and not shared:
            self._add_violation(
                "effects", "rate-limited what ran", request.answer[0], f"{name} ({request.product.name})"
            )

    def _dedup_group(self, request: RequestRecord, attempt: Attempt) -> int:
        """The group of backends that recognise duplicates together, for the backend of this attempt."""
        zone, cell = self._zone_and_cell[attempt.backend]
        return {DedupScope.ALL: 0, DedupScope.ZONE: zone, DedupScope.CELL: cell}[request.product.group]


def verdict(violations: list[Violation]) -> dict[str, str]:
    """For each rule "kept", or the kinds of violations and their numbers."""
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for b in violations:
        counts[b.rule][b.name] += 1
    return {
        rule: ", ".join(f"{name} x{n}" for name, n in counts[rule].most_common()) or "kept" for rule in RULES
    }
