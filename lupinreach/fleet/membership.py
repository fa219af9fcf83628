"""Failure detection: which agents are alive, by heartbeats passed on in digests. Pure.

Each agent numbers its own heartbeats. Once per heartbeat interval it sends the `wire.MAX_MEMBERS` rows that
it has sent least often since they changed to `FANOUT` randomly drawn peers. The cost per agent is the same in
every fleet size; what grows is the time for an update to reach all agents, and with it the silence after
which an agent is suspected:

    silence(n) = SUSPECT_AFTER_HEARTBEATS x interval x max(1, n / (FANOUT x MAX_MEMBERS))

After twice that silence an agent is considered dead.

Each row carries the age of its heartbeat, so that all agents measure the same silence, whoever passed the row
on.

An agent whose own ticks are late, or that receives nothing at all, cannot judge others: it suspects itself
first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lupinreach.fleet import wire
from lupinreach.fleet.incarnation import Incarnation

FANOUT = 2  # peers that each heartbeat is sent to
AGE_STEP_MS = 100.0  # ms per step of a transmitted age
# Intervals without a newer heartbeat; among 12 to 100 agents without loss the oldest of 400,000 rows was
# 10.5.
SUSPECT_AFTER_HEARTBEATS = 16.0
NEVER_HEARD = Incarnation(0, 0), 0
LATE_TICK_INTERVALS = 2.0  # intervals between two ticks above which this agent itself was stalled


class MemberStatus(Enum):
    """What an agent concludes about another one."""

    ALIVE = "there"
    SUSPECTED = "suspected"
    DEAD = "gone"


class SelfStatus(Enum):
    """What an agent concludes about itself."""

    HEALTHY = "sound"
    STALLED = "late"  # its own ticks are late, so the others' silence may be its own fault
    ISOLATED = "deaf"  # it receives nothing from anybody


@dataclass
class Row:
    """The newest known incarnation and heartbeat of one agent."""

    incarnation: Incarnation
    heartbeat: int
    last_heard: float  # ms, by this agent's clock: time of its newest heartbeat
    times_sent: int = 0  # since the row changed


class Members:
    """One agent's table of the fleet; at most one row per agent."""

    def __init__(self, me: int, agents: int, interval: float, draw: Callable[[], float]) -> None:
        """`interval` between heartbeats in ms; `draw` returns random numbers from 0 to 1."""
        self.me = me
        self._agents = agents
        self._interval = interval
        self._draw = draw
        self._rows: dict[int, Row] = {}
        self._last_tick: float | None = None
        self._last_datagram = 0.0  # ms: when the last datagram was received
        self._stalled_until = 0.0
        self.heartbeat = 0

    @property
    def silence(self) -> float:
        """Ms without a newer heartbeat after which an agent is suspected."""
        return (
            SUSPECT_AFTER_HEARTBEATS * self._interval * max(1.0, self._agents / (FANOUT * wire.MAX_MEMBERS))
        )

    def tick(self, now: float) -> None:
        """Counts the next heartbeat and detects a stall of this agent; called once per interval."""
        if self._last_tick is None:
            self._last_datagram = now
        else:
            gap = now - self._last_tick
            if gap > LATE_TICK_INTERVALS * self._interval:
                # Guards against a suspended process that resumes and considers all others dead: it stood
                # still, not they.
                self._stalled_until = now + self.silence
                for row in self._rows.values():
                    row.last_heard += gap
                self._last_datagram += gap
        self._last_tick = now
        self.heartbeat += 1

    def self_status(self, now: float) -> SelfStatus:
        """Whether this agent can judge others at all."""
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
        """Merges a received heartbeat: its sender's state, and the other members it lists."""
        if self.self_status(now) is SelfStatus.ISOLATED:
            for row in self._rows.values():
                row.last_heard += (
                    now - self._last_datagram
                )  # the time in which this agent received nothing is not the others' silence
        self._last_datagram = now
        self._merge(now, sender, incarnation, heartbeat)
        for member in members:
            self._merge(now - member.age * AGE_STEP_MS, member.agent, member.incarnation, member.heartbeat)

    def _merge(self, since: float, agent: int, incarnation: Incarnation, heartbeat: int) -> None:
        """Keeps the newest heartbeat, dated `since`.

        Guards against a dead agent's last heartbeat that arrives late and makes it look alive.
        """
        if agent == self.me or agent >= self._agents:
            return
        row = self._rows.get(agent)
        if row is None or (incarnation, heartbeat) > (row.incarnation, row.heartbeat):
            self._rows[agent] = Row(incarnation, heartbeat, max(since, row.last_heard if row else since))

    def latest(self, agent: int) -> tuple[Incarnation, int]:
        """The newest known incarnation of an agent and its last heartbeat.

        `NEVER_HEARD` is less than any other.
        """
        row = self._rows.get(agent)
        return (row.incarnation, row.heartbeat) if row else NEVER_HEARD

    def status(self, now: float, agent: int) -> MemberStatus | None:
        """The status of an agent; None if it was never heard of."""
        row = self._rows.get(agent)
        if row is None:
            return None
        if self.self_status(now) is not SelfStatus.HEALTHY:
            return MemberStatus.ALIVE  # it cannot tell otherwise
        silent = now - row.last_heard
        return (
            MemberStatus.ALIVE
            if silent <= self.silence
            else MemberStatus.SUSPECTED
            if silent <= 2 * self.silence
            else MemberStatus.DEAD
        )

    def statuses(self, now: float) -> list[tuple[int, Incarnation, MemberStatus]]:
        """Every agent that was ever heard of, by number."""
        return [
            (a, row.incarnation, self.status(now, a) or MemberStatus.DEAD)
            for a, row in sorted(self._rows.items())
        ]

    def alive_count(self, now: float) -> int:
        """How many agents are alive, including this one."""
        return 1 + sum(self.status(now, a) is MemberStatus.ALIVE for a in self._rows)

    def digest(self, now: float) -> tuple[wire.Member, ...]:
        """The rows for one datagram, those sent least often first; counts them as sent."""
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
        """Draws the recipients of the next heartbeat.

        They are drawn from all configured agents, known or not, so that partitions find each other again.
        """
        found: list[int] = []
        while len(found) < min(FANOUT, self._agents - 1):
            other = min(self._agents - 1, int(self._draw() * self._agents))
            if other != self.me and other not in found:
                found.append(other)
        return found
