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
AGE = 100.0  # ms in a step of an age
SILENT = 16.0  # beats without a newer one: in 12 to 100 agents, nothing lost, the oldest of 400,000 was 10.5
NOBODY = Incarnation(0, 0), 0
LATE = 2.0  # beats between two looks, from which on this agent was late itself


class MemberStatus(Enum):
    THERE = "there"
    SUSPECTED = "suspected"
    GONE = "gone"


class SelfStatus(Enum):
    """What an agent holds of itself."""

    SOUND = "sound"
    LATE = "late"  # its own looks come late: the others' silence may be its own
    DEAF = "deaf"  # it hears nobody


@dataclass
class Row:
    life: Incarnation
    beat: int
    heard: float  # ms, by this agent's clock: when its beat last grew
    told: int = 0  # times since it changed


class Members:
    """One agent's table of the fleet; a row for each agent at most."""

    def __init__(self, me: int, agents: int, beat: float, chance: Callable[[], float]) -> None:
        """`beat` in ms; `chance` draws from 0 to 1."""
        self.me = me
        self._agents = agents
        self._every = beat
        self._chance = chance
        self._rows: dict[int, Row] = {}
        self._looked: float | None = None
        self._any_heard = 0.0  # ms: when anything last came
        self._late_until = 0.0
        self.beat = 0

    @property
    def silence(self) -> float:
        """Ms without a newer beat from which on an agent is suspected."""
        return SILENT * self._every * max(1.0, self._agents / (FANOUT * wire.MEMBERS))

    def look(self, now: float) -> None:
        """Once a beat."""
        if self._looked is None:
            self._any_heard = now
        else:
            gap = now - self._looked
            if gap > LATE * self._every:
                # Guards against a sleeper that wakes and takes all others for gone: it stood still, not they.
                self._late_until = now + self.silence
                for row in self._rows.values():
                    row.heard += gap
                self._any_heard += gap
        self._looked = now
        self.beat += 1

    def own(self, now: float) -> SelfStatus:
        if now < self._late_until:
            return SelfStatus.LATE
        if self._agents > 1 and self._rows and now - self._any_heard > self.silence:
            return SelfStatus.DEAF
        return SelfStatus.SOUND

    def heard(
        self, now: float, sender: int, life: Incarnation, beat: int, members: tuple[wire.Member, ...]
    ) -> None:
        """A beat has come: what it says of its sender, and of others."""
        if self.own(now) is SelfStatus.DEAF:
            for row in self._rows.values():
                row.heard += now - self._any_heard  # what it didn't hear meanwhile is no one's silence
        self._any_heard = now
        self._take(now, sender, life, beat)
        for member in members:
            self._take(now - member.age * AGE, member.agent, member.life, member.beat)

    def _take(self, since: float, agent: int, life: Incarnation, beat: int) -> None:
        """That beat is so old. Guards against a dead agent's last word that comes round late and makes it fresh."""
        if agent == self.me or agent >= self._agents:
            return
        row = self._rows.get(agent)
        if row is None or (life, beat) > (row.life, row.beat):
            self._rows[agent] = Row(life, beat, max(since, row.heard if row else since))

    def met(self, agent: int) -> tuple[Incarnation, int]:
        """The newest life known of an agent, and its last beat; nothing is below all."""
        row = self._rows.get(agent)
        return (row.life, row.beat) if row else NOBODY

    def standing(self, now: float, agent: int) -> MemberStatus | None:
        """None: never heard of."""
        row = self._rows.get(agent)
        if row is None:
            return None
        if self.own(now) is not SelfStatus.SOUND:
            return MemberStatus.THERE  # it has no ground to say otherwise
        silent = now - row.heard
        return (
            MemberStatus.THERE
            if silent <= self.silence
            else MemberStatus.SUSPECTED
            if silent <= 2 * self.silence
            else MemberStatus.GONE
        )

    def all(self, now: float) -> list[tuple[int, Incarnation, MemberStatus]]:
        """Every agent that was heard of, by number."""
        return [
            (a, row.life, self.standing(now, a) or MemberStatus.GONE) for a, row in sorted(self._rows.items())
        ]

    def count(self, now: float) -> int:
        """How many stand, this one among them."""
        return 1 + sum(self.standing(now, a) is MemberStatus.THERE for a in self._rows)

    def digest(self, now: float) -> tuple[wire.Member, ...]:
        """The rows for one datagram, those told least often first; they count as told."""
        rarest = sorted(self._rows.items(), key=lambda item: (item[1].told, self._chance()))[: wire.MEMBERS]
        for _, row in rarest:
            row.told += 1
        return tuple(
            wire.Member(agent, row.life, row.beat, int(max(0.0, now - row.heard) / AGE))
            for agent, row in rarest
        )

    def targets(self) -> list[int]:
        """Whom the next beat goes to: any of the fleet's agents, known or not, so that parts find each other again."""
        found: list[int] = []
        while len(found) < min(FANOUT, self._agents - 1):
            other = min(self._agents - 1, int(self._chance() * self._agents))
            if other != self.me and other not in found:
                found.append(other)
        return found
