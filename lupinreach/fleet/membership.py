"""Which agents stand: by beats that are passed on in digests. Pure.

Each agent counts its own beats and sends, once a beat, to `FAN` peers drawn anew the `wire.MEMBERS` rows that it has told
least often since they changed. The cost of an agent is so the same in every fleet; what grows is the time for news to get round, and
with it the time after which silence means anything:

    silence(n) = SILENT x beat x max(1, n / (FAN x MEMBERS))    suspected after it, gone after twice that

Each row says how old its beat is, so that it is the same silence at all agents, whoever told them.

An agent that is late with its own looks, or hears nobody at all, has no ground to judge others by: it suspects itself first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lupinreach.fleet import wire
from lupinreach.fleet.incarnation import Incarnation

FANOUT = 2  # peers that each beat goes to
AGE_STEP_MS = 100.0  # ms in a step of an age
SUSPECT_AFTER_HEARTBEATS = (
    16.0  # beats without a newer one: in 12 to 100 agents, nothing lost, the oldest of 400,000 was 10.5
)
NEVER_HEARD = Incarnation(0, 0), 0
LATE_TICK_INTERVALS = 2.0  # beats between two looks, from which on this agent was late itself


class MemberStatus(Enum):
    ALIVE = "there"
    SUSPECTED = "suspected"
    DEAD = "gone"


class SelfStatus(Enum):
    """What an agent holds of itself."""

    HEALTHY = "sound"
    STALLED = "late"  # its own looks come late: the others' silence may be its own
    ISOLATED = "deaf"  # it hears nobody


@dataclass
class Row:
    incarnation: Incarnation
    heartbeat: int
    last_heard: float  # ms, by this agent's clock: when its beat last grew
    times_sent: int = 0  # times since it changed


class Members:
    """One agent's table of the fleet; a row for each agent at most."""

    def __init__(self, me: int, agents: int, interval: float, draw: Callable[[], float]) -> None:
        """`beat` in ms; `chance` draws from 0 to 1."""
        self.me = me
        self._agents = agents
        self._interval = interval
        self._draw = draw
        self._rows: dict[int, Row] = {}
        self._last_tick: float | None = None
        self._last_datagram = 0.0  # ms: when anything last came
        self._stalled_until = 0.0
        self.heartbeat = 0

    @property
    def silence(self) -> float:
        """Ms without a newer beat from which on an agent is suspected."""
        return (
            SUSPECT_AFTER_HEARTBEATS * self._interval * max(1.0, self._agents / (FANOUT * wire.MAX_MEMBERS))
        )

    def tick(self, now: float) -> None:
        """Once a beat."""
        if self._last_tick is None:
            self._last_datagram = now
        else:
            gap = now - self._last_tick
            if gap > LATE_TICK_INTERVALS * self._interval:
                # Guards against a sleeper that wakes and takes all others for gone: it stood still, not they.
                self._stalled_until = now + self.silence
                for row in self._rows.values():
                    row.last_heard += gap
                self._last_datagram += gap
        self._last_tick = now
        self.heartbeat += 1

    def self_status(self, now: float) -> SelfStatus:
        if now < self._stalled_until:
            return SelfStatus.STALLED
        if self._agents > 1 and self._rows and now - self._last_datagram > self.silence:
            return SelfStatus.ISOLATED
        return SelfStatus.HEALTHY

    def receive(
        self,
        now: float,
        sender: int,
        incarnation: Incarnation,
        heartbeat: int,
        members: tuple[wire.Member, ...],
    ) -> None:
        """A beat has come: what it says of its sender, and of others."""
        if self.self_status(now) is SelfStatus.ISOLATED:
            for row in self._rows.values():
                row.last_heard += (
                    now - self._last_datagram
                )  # what it didn't hear meanwhile is no one's silence
        self._last_datagram = now
        self._merge(now, sender, incarnation, heartbeat)
        for member in members:
            self._merge(now - member.age * AGE_STEP_MS, member.agent, member.incarnation, member.heartbeat)

    def _merge(self, since: float, agent: int, incarnation: Incarnation, heartbeat: int) -> None:
        """That beat is so old. Guards against a dead agent's last word that comes round late and makes it fresh."""
        if agent == self.me or agent >= self._agents:
            return
        row = self._rows.get(agent)
        if row is None or (incarnation, heartbeat) > (row.incarnation, row.heartbeat):
            self._rows[agent] = Row(incarnation, heartbeat, max(since, row.last_heard if row else since))

    def latest(self, agent: int) -> tuple[Incarnation, int]:
        """The newest life known of an agent, and its last beat; nothing is below all."""
        row = self._rows.get(agent)
        return (row.incarnation, row.heartbeat) if row else NEVER_HEARD

    def status(self, now: float, agent: int) -> MemberStatus | None:
        """None: never heard of."""
        row = self._rows.get(agent)
        if row is None:
            return None
        if self.self_status(now) is not SelfStatus.HEALTHY:
            return MemberStatus.ALIVE  # it has no ground to say otherwise
        silent = now - row.last_heard
        return (
            MemberStatus.ALIVE
            if silent <= self.silence
            else MemberStatus.SUSPECTED
            if silent <= 2 * self.silence
            else MemberStatus.DEAD
        )

    def statuses(self, now: float) -> list[tuple[int, Incarnation, MemberStatus]]:
        """Every agent that was heard of, by number."""
        return [
            (a, row.incarnation, self.status(now, a) or MemberStatus.DEAD)
            for a, row in sorted(self._rows.items())
        ]

    def alive_count(self, now: float) -> int:
        """How many stand, this one among them."""
        return 1 + sum(self.status(now, a) is MemberStatus.ALIVE for a in self._rows)

    def digest(self, now: float) -> tuple[wire.Member, ...]:
        """The rows for one datagram, those told least often first; they count as told."""
        least_sent = sorted(self._rows.items(), key=lambda item: (item[1].times_sent, self._draw()))[
            : wire.MAX_MEMBERS
        ]
        for _, row in least_sent:
            row.times_sent += 1
        return tuple(
            wire.Member(
                agent, row.incarnation, row.heartbeat, int(max(0.0, now - row.last_heard) / AGE_STEP_MS)
            )
            for agent, row in least_sent
        )

    def draw_targets(self) -> list[int]:
        """Whom the next beat goes to: any of the fleet's agents, known or not, so that parts find each other again."""
        found: list[int] = []
        while len(found) < min(FANOUT, self._agents - 1):
            other = min(self._agents - 1, int(self._draw() * self._agents))
            if other != self.me and other not in found:
                found.append(other)
        return found
