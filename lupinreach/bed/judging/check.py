"""Judges a run by its ledger alone: the four rules, and that nothing given up is held. Pure."""

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

LATE = 50.0  # ms that each limit is longer: messages take their time
HELD_AT = 0.9  # of a client's wait: a refusal that comes later, though nothing
HELD_SINCE = 0.5  # of it was out, was held
MOST_TOLD = 50  # breaches that a verdict tells in full
RULES = ("answered", "effects", "drains", "cold", "held", "lives", "faults")


@dataclass(frozen=True)
class Violation:
    rule: str
    name: str  # of what went wrong, one of a few
    at: float  # ms
    what: str


@dataclass
class Shot:
    sent: float
    backend: int
    ended: float = inf  # when the backend said that it would not, or failed
    ran: list[float] = field(default_factory=list)  # when it had an effect


@dataclass
class Tried:
    """One try of a client's, as the ledger has it."""

    call: int
    agent: int
    product: ProductSpec
    at: float
    waits: float
    got: tuple[float, int, str] | None = None  # when, status, name that the body carries
    left: float = inf
    lost: tuple[float, str] | None = None
    shots: list[Shot] = field(default_factory=list)
    reached: float = inf  # when a relay had handed it to its agent, where one stands between,
    replied: float = inf  # and had the first bytes of the answer

    @property
    def over(self) -> float:
        return min(self.got[0] if self.got else inf, self.left, self.lost[0] if self.lost else inf)


class Checker:
    """Reads the records once, in order."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._products = {p.name: p for p in world.products}
        self.violations: list[Violation] = []
        self._relayed = False  # a relay stands between clients and agents, and has booked
        self.unheard: list[
            str
        ] = []  # tries that no client got an answer of, for what stood between it and its agent
        self.tries: dict[str, Tried] = {}
        self._killed: dict[int, list[tuple[float, float]]] = defaultdict(
            list
        )  # and when the next life was started
        self._held_up: dict[int, list[tuple[float, float]]] = defaultdict(
            list
        )  # by agent: its event loop stood still
        # What each life of an agent was told of each backend: not ready since when; absent: ready, inf: never told
        self._barred: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)
        self._listed: dict[tuple[int, int], set[int]] = defaultdict(set)
        self._deaf: dict[int, list[tuple[float, float]]] = defaultdict(list)  # by agent: nothing got to it
        self._highest: dict[int, int] = defaultdict(int)  # by agent: the highest version that it was told
        self._lives: dict[
            int, tuple[float, float, float, float]
        ] = {}  # backend: booted, capacity, cold, start
        self._groups: dict[int, tuple[int, int]] = {}  # backend: zone, cell
        self._came: dict[int, deque[tuple[float, float]]] = defaultdict(deque)
        self._sum: Counter[int] = Counter()
        self._said: set[tuple[int, int, int]] = set()  # lives, by agent
        self._tipped: set[tuple[int, float]] = set()

    def _breach(self, rule: str, name: str, at: float, what: str) -> None:
        self.violations.append(Violation(rule, name, round(at, 3), what))

    def read(self, records: Iterable[Record]) -> list[Violation]:
        """All breaches, in the order of their times."""
        for record in records:
            handle = getattr(self, "_on_" + record[0], None)
            if handle is not None:
                handle(record[1] / 1000, *record[2:])
        for name, one in self.tries.items():
            self._judge(name, one)
        self.violations.sort(key=lambda b: b.at)
        return self.violations

    # Record by record.

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
        waits: float,
    ) -> None:
        self.tries[name] = Tried(call, agent, self._products[product], at, waits)

    def _on_got(self, at: float, name: str, status: int, retry_after: float, carried: str) -> None:
        one = self.tries[name]
        if one.got is not None:
            self._breach("answered", "answered twice", at, f"{name} at agent {one.agent}")
        else:
            one.got = at, status, carried

    def _on_extra(self, at: float, name: str) -> None:
        self._breach("answered", "answered twice", at, f"bytes after the answer to {name}")

    def _on_left(self, at: float, name: str) -> None:
        self.tries[name].left = at

    def _on_lost(self, at: float, name: str, why: str) -> None:
        self.tries[name].lost = at, why

    def _on_reached(self, at: float, name: str) -> None:
        self._relayed = True
        self.tries[name].reached = min(at, self.tries[name].reached)

    def _on_replied(self, at: float, name: str) -> None:
        self.tries[name].replied = min(at, self.tries[name].replied)

    def _on_agent(self, at: float, agent: int, incarnation: int, what: str) -> None:
        if what == "killed":
            self._killed[agent].append((at, inf))
        elif what == "started" and self._killed[agent] and self._killed[agent][-1][1] == inf:
            self._killed[agent][-1] = self._killed[agent][-1][0], at

    def _on_trouble(self, at: float, number: int, kind: str, what: str, targets: list[int]) -> None:
        trouble = self._world.troubles[number]
        if kind in ("busy-agents", "sleep-agents") and what == "begins":
            for agent in targets:
                self._held_up[agent].append((at, at + trouble.length + max(trouble.strength, LATE)))
        elif kind == "deaf-agents" and what == "begins":
            for agent in targets:
                self._deaf[agent].append((at, at + trouble.length + LATE))
        elif kind == "sleep-agents":
            for agent in targets:  # with processes it may sleep for longer than it was to
                self._held_up[agent].append((at - LATE, at + LATE))

    def _on_told(
        self,
        at: float,
        agent: int,
        incarnation: int,
        version: int,
        entries: list[tuple[int, str]],
        whole: bool,
    ) -> None:
        barred, listed = self._barred[agent, incarnation], self._listed[agent, incarnation]
        named = set()
        ready = {backend for backend, state in entries if state == "Ready"}
        for backend, _ in entries:
            named.add(backend)
            listed.add(backend)
            # One that was replaced while nothing was told stands there twice: the process before is gone, its successor is not.
            if backend in ready:
                barred.pop(backend, None)
            else:
                barred.setdefault(backend, at)
        # What an older list than one before doesn't name is not gone by its word: the registry came back with what it was.
        if whole and version >= self._highest[agent]:
            for backend in listed - named:
                barred.setdefault(backend, at)
        self._highest[agent] = max(version, self._highest[agent])

    def _on_sent(self, at: float, agent: int, incarnation: int, backend: int, name: str) -> None:
        since = self._barred[agent, incarnation].get(backend)
        if since is not None and at > since + self._world.rules.drain_grace + LATE:
            self._breach(
                "drains",
                "sent to draining",
                at,
                f"{name} to backend {backend}, {at - since:.0f} ms after agent {agent} was told",
            )
        elif backend not in self._listed[agent, incarnation]:
            self._breach("drains", "sent to unlisted", at, f"{name} to backend {backend} by agent {agent}")
        one = self.tries.get(name)
        if one is None:
            self._breach("answered", "sent unasked", at, f"{name} to backend {backend}")
            return
        if at > one.over + LATE:
            self._breach("answered", "sent after the answer", at, f"{name} to backend {backend}")
        one.shots.append(Shot(at, backend))

    def _on_away(self, at: float, backend: int, name: str) -> None:
        for shot in self._shots(name, backend):
            shot.ended = min(shot.ended, at)

    def _on_ran(self, at: float, backend: int, name: str, effect: bool) -> None:
        # No end: that the work is done does not say that its answer got there.
        for shot in self._shots(name, backend):
            if effect:
                shot.ran.append(at)

    def _on_failed(self, at: float, backend: int, name: str) -> None:
        self._on_away(at, backend, name)

    def _shots(self, name: str, backend: int) -> list[Shot]:
        """The oldest shot of this try to this backend of which nothing is booked yet, or the newest there was."""
        found = [s for s in self.tries[name].shots if s.backend == backend] if name in self.tries else []
        return ([s for s in found if s.ended == inf and not s.ran] or found[-1:])[:1]

    def _on_said(self, at: float, agent: int, event: str, fields: dict[str, Any]) -> None:
        if event == "asked":
            incarnation = (
                agent if agent >= 0 else -1 - agent,
                *fields["life"],
            )  # a second process is below 0
            if incarnation in self._said:
                self._breach("lives", "life twice", at, f"agent {incarnation[0]}, life {incarnation[1]}")
            self._said.add(incarnation)

    def _on_fault(self, at: float, what: str) -> None:
        self._breach("faults", "fault", at, what)

    # Cold backends: recomputed, whatever their models say.

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
        self._groups[backend] = zone, cell
        if state == "Ready":
            self._lives[backend] = at, capacity, cold, start
            self._came[backend].clear()
            self._sum[backend] = 0

    def _on_came(self, at: float, backend: int, incarnation: int, name: str, work: float) -> None:
        booted, capacity, cold, start = self._lives.get(backend, (0.0, 0.0, 0.0, 1.0))
        if not cold or at >= booted + cold:
            return
        rules, came = self._world.rules, self._came[backend]
        came.append((at, work))
        self._sum[backend] += work  # type: ignore[assignment]
        while came[0][0] <= at - rules.fall:
            self._sum[backend] -= came.popleft()[1]  # type: ignore[assignment]
        part = start + (1 - start) * (at - booted) / cold
        if (
            self._sum[backend]
            > COLD_LOAD_TOLERANCE * rules.fall_multiple * capacity * part * rules.fall + 1e-6
        ):
            if (backend, booted) not in self._tipped:
                self._tipped.add((backend, booted))
                self._breach(
                    "cold", "cold pushed over", at, f"backend {backend}, {at - booted:.0f} ms after its start"
                )

    # Try by try.

    def _judge(self, name: str, one: Tried) -> None:
        self._judge_answer(name, one)
        self._judge_effects(name, one)

    def _judge_answer(self, name: str, one: Tried) -> None:
        if one.got is not None:
            at, status, carried = one.got
            if status == 200 and carried != name:
                self._breach(
                    "answered", "another call's answer", at, f"{name} got what belongs to {carried or '?'}"
                )
            # Connections that never come up take their time and are booked nowhere.
            dialled = self._world.limits.shots * self._world.limits.connect_timeout + LATE
            if status != 200 and at - one.at > max(HELD_AT * one.waits, dialled):
                since = one.at + HELD_SINCE * one.waits
                slept = any(begin <= at and one.at <= end for begin, end in self._held_up[one.agent])
                # Sent once more, by the same id, to a life that wasn't there when it was asked.
                slept = slept or any(one.at < back <= at for _, back in self._killed[one.agent])
                # How its shots had ended didn't get to it.
                slept = slept or any(begin <= at and one.at <= end for begin, end in self._deaf[one.agent])
                if not slept and all(s.ended < since for s in one.shots):
                    self._breach(
                        "held", "held", at, f"{name}, refused {at - one.at:.0f} ms after it was asked"
                    )
            return
        over = one.over
        if one.lost is not None and (one.lost[1] == "refused" or (self._relayed and one.reached == inf)):
            return  # never taken: of an agent that was killed a moment ago the relay accepts, and then resets
        if any(one.at < back and killed <= over + LATE for killed, back in self._killed[one.agent]):
            return  # what an agent held when it was killed, or was sent to nobody after, is the client's to try again
        if any(begin <= over <= end for begin, end in self._held_up[one.agent]):
            return  # a late answer of an agent that was held up
        if over < inf and self._held_between(one):
            self.unheard.append(name)
        elif over < inf:
            why = f"the connection {one.lost[1]}" if one.lost else "the client timeout passed"
            self._breach("answered", "no answer", over, f"{name} at agent {one.agent}: {why}")

    def _held_between(self, one: Tried) -> bool:
        """If the agent had answered in its own time, or was reached too late to: the relay's matter, seen there."""
        if one.reached == inf:
            return False
        return one.replied <= one.reached + one.waits or one.reached - one.at > self._world.rules.answer_slack

    def _judge_effects(self, name: str, one: Tried) -> None:
        effects = sorted(t for s in one.shots for t in s.ran)
        kind = one.product.kind
        if kind is Idempotency.IDEMPOTENT:
            return
        if len(effects) > 1:
            ran = [s for s in one.shots if s.ran]
            apart = max(s.sent for s in ran) - min(s.sent for s in ran)
            what = "effect twice"
            if kind is Idempotency.DEDUPLICATED:
                # Sent in time and to the group: one that hung before a cut for longer is nobody's breach.
                what = (
                    "effect twice past the memory"
                    if apart >= one.product.memory
                    else "effect twice outside the group"
                    if len({self._group(one, s) for s in ran}) > 1
                    else ""
                )
            if what:
                self._breach(
                    "effects", what, effects[1], f"{name} ({one.product.name}), {apart:.0f} ms apart"
                )
        shared = kind is Idempotency.DEDUPLICATED and one.product.group is DedupScope.ALL
        if effects and one.got is not None and one.got[1] in (429, 503) and not shared:
            self._breach("effects", "rate-limited what ran", one.got[0], f"{name} ({one.product.name})")

    def _group(self, one: Tried, shot: Shot) -> int:
        """What shares the memory of marks with the backend of this shot."""
        zone, cell = self._groups[shot.backend]
        return {DedupScope.ALL: 0, DedupScope.ZONE: zone, DedupScope.CELL: cell}[one.product.group]


def verdict(violations: list[Violation]) -> dict[str, str]:
    """Each rule, kept or how often it was broken and as what."""
    found: dict[str, Counter[str]] = defaultdict(Counter)
    for b in violations:
        found[b.rule][b.name] += 1
    return {
        rule: ", ".join(f"{name} x{n}" for name, n in found[rule].most_common()) or "kept" for rule in RULES
    }
