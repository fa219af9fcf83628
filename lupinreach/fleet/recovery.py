"""How an agent starts up: its query to peers, the trusted backend list, and the startup stages. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import inf

from lupinreach.fleet.incarnation import Incarnation
from lupinreach.fleet.wire import Drain, Message

QUERIED_PEERS = 5  # peers that a starting agent asks
LONE_CLAIM_SHARE = 0.25  # share of the ready backends that the claims of one peer alone may withhold
# Multiple of the time within which an agent has to ask the registry: one that stays below the floor
# this long was reset.
RESET_AFTER = 3.0
MAX_DRAINS = 1024


# Answers of peers.


@dataclass
class PeerAnswer:
    """One peer's answer, collected from its parts."""

    revision: int
    remembers: bool
    alive: int
    known: Incarnation
    drains: set[Drain] = field(default_factory=set)
    parts: set[int] = field(default_factory=set)
    expected_parts: int = 1

    @property
    def complete(self) -> bool:
        return len(self.parts) == self.expected_parts


class PeerQuery:
    """The query of a starting agent to a few peers.

    It is over when all have answered completely, or after `within` ms.

    In a fleet where no agent remembers anything nobody waits: an agent that has just started says so at once,
    in one part.
    """

    def __init__(self, now: float, peers: Iterable[int], nonce: int, within: float) -> None:
        self.peers = tuple(peers)
        self.nonce = nonce
        self._until = now + within
        self.answers: dict[int, PeerAnswer] = {}  # by peer

    def add_answer(self, m: Message) -> bool:
        """Takes a part of an answer; false if it was not requested."""
        if m.nonce != self.nonce or m.sender not in self.peers:
            return False
        answer = self.answers.setdefault(
            m.sender, PeerAnswer(m.revision, m.remembers, m.alive, m.known, expected_parts=m.parts)
        )
        answer.parts.add(m.part)
        answer.drains.update(m.drains)
        return True

    def is_over(self, now: float) -> bool:
        """Whether all answers are complete or the time is up."""
        return now >= self._until or (
            len(self.answers) == len(self.peers) and all(a.complete for a in self.answers.values())
        )

    def alive(self) -> int:
        """How many agents are alive: the median over the peers that remember; 0 if none does."""
        counts = sorted(a.alive for a in self.answers.values() if a.remembers)
        return counts[len(counts) // 2] if counts else 0


# Which backend list is trusted.


class RevisionFloor:
    """The highest revision that is certainly the registry's, and whether a list is older than that.

    A registry that was reset on purpose stays below the floor; one that came back with an old list catches up
    or is repaired. Only time tells them apart: `RESET_AFTER` times the time within which an agent has to ask
    the registry. Until then no backend is dropped because of the old list, and no draining backend gets new
    calls.
    """

    def __init__(self, revision: int, within: float) -> None:
        """`within` in ms."""
        self.revision = revision
        self._reset_after = RESET_AFTER * within
        self._below_since: float | None = None
        self._claims: dict[int, int] = {}  # highest revision seen, by peer; at most one entry per peer

    def raise_to(self, revision: int) -> None:
        """Raises the floor to a revision from the registry or from this agent's own disk."""
        self.revision = max(self.revision, revision)

    def add_claim(self, peer: int, revision: int) -> None:
        """Takes a revision that a peer claims to have seen; it counts as soon as a second peer has seen it.

        The claim of one peer alone, such as 2^60, makes no list old.
        """
        self._claims[peer] = revision
        claims = sorted(self._claims.values(), reverse=True)
        if len(claims) > 1:
            self.raise_to(claims[1])

    def is_older(self, now: float, revision: int) -> bool:
        """Whether the registry, which has reported this revision, is older than the floor.

        Resets the floor after the waiting time.
        """
        if revision >= self.revision:
            self.revision, self._below_since = revision, None
            return False
        if self._below_since is None:
            self._below_since = now
        if now - self._below_since < self._reset_after:
            return True
        self.revision, self._below_since = revision, None
        self._claims.clear()  # they refer to the time before the reset
        return False


class DrainSet:
    """Draining backend processes, which get no new calls whatever an older list says.

    Entries end with a restart, a removal or a lift.
    """

    def __init__(self, kept: Iterable[Drain] = ()) -> None:
        # Reported by the registry, to this incarnation or an earlier one.
        self._own: dict[Drain, None] = dict.fromkeys(kept)
        self._claims: dict[Drain, set[int]] = {}  # peers that claim it

    def add(self, drain: Drain) -> bool:
        """Adds a drain reported by the registry; true if it is new."""
        if drain in self._own or len(self._own) >= MAX_DRAINS:
            return False
        self._own[drain] = None
        return True

    def lift(self, backend: int, boot: int) -> bool:
        """Ends a drain, since a registry not older than the floor reports the backend as ready or removed.

        True if there was one.
        """
        lifted = [d for d in (*self._own, *self._claims) if d.backend == backend and d.boot <= boot]
        for d in lifted:
            self._own.pop(d, None)
            self._claims.pop(d, None)
        return bool(lifted)

    def add_claims(self, peer: int, drains: Iterable[Drain]) -> None:
        """Adds drains that a peer claims."""
        for d in drains:
            if d in self._claims or len(self._claims) < MAX_DRAINS:
                self._claims.setdefault(d, set()).add(peer)

    def drop_claims(self) -> bool:
        """Drops the claims of peers; true if there were any.

        Guards against a false or late claim that no change of the list would ever end. Not done as soon as
        the registry is past the floor: one that came back with an old list continues from there, and its
        drains are still missing.
        """
        had_claims = bool(self._claims)
        self._claims.clear()
        return had_claims

    def all(self) -> list[Drain]:
        """The drains that this agent passes on: those from the registry itself, not peers' claims."""
        return list(self._own)

    def withheld(self, ready: Iterable[Drain]) -> set[int]:
        """Names of those of the ready backends (name and boot) that get no new calls.

        A claimed drain counts at once, but the claims of one peer alone withhold at most `LONE_CLAIM_SHARE`
        of them: guards against a peer that claims that all of them drain.
        """
        ready = list(ready)
        found = {d.backend for d in ready if d in self._own or len(self._claims.get(d, ())) > 1}
        remaining = int(LONE_CLAIM_SHARE * len(ready))
        for d in sorted(ready, key=lambda d: (d.backend, d.boot)):
            if remaining > 0 and d.backend not in found and d in self._claims:
                found.add(d.backend)
                remaining -= 1
        return found


# Startup stages.


class Stage(IntEnum):
    """Stages of a starting agent, in order; reported by their lower-case names."""

    DARK = 0
    STANDING = 1
    LISTENING = 2
    TRYING = 3
    RISING = 4
    FULL = 5


@dataclass(frozen=True)
class StartupFacts:
    """What is known when the startup sequence is advanced."""

    read: bool = False  # the store was read, or none is configured
    asked: bool = False  # the query to peers is over
    listed: int = 0  # ready backends in the current list
    registry: bool = False  # the registry itself has answered and is not older than the floor
    answered: bool = False  # a backend has answered an attempt of this incarnation
    cold: bool = True  # at least half of the listed backends are cold


@dataclass(frozen=True)
class StageRule:
    """How one stage ends and how the agent serves meanwhile."""

    stage: Stage
    ready: bool  # what `/health/ready` reports
    done: Callable[[StartupFacts], bool]
    limit: str  # name of its longest duration in `StageLimits`
    service: str


@dataclass(frozen=True)
class StageLimits:
    """The longest durations of the stages, ms."""

    read: float
    ask: float
    hold: float
    cold: float
    none: float = inf


STAGE_TABLE = (
    StageRule(Stage.DARK, False, lambda f: f.read, "read", "errored at once"),
    StageRule(
        Stage.STANDING, False, lambda f: f.asked, "ask", "by the list of before, if any; else errored at once"
    ),
    StageRule(Stage.LISTENING, True, lambda f: f.listed > 0, "none", "rate-limited at once"),
    StageRule(
        Stage.TRYING,
        True,
        lambda f: f.answered,
        "hold",
        "as far as backends answer; the rest rate-limited at once",
    ),
    StageRule(
        Stage.RISING,
        True,
        lambda f: f.registry and not f.cold,
        "cold",
        "as far as cold credit goes; the rest the same",
    ),
)


class StartupSequence:
    """The startup stage of an agent; only moves forward, possibly several stages at once."""

    def __init__(self, now: float, limits: StageLimits) -> None:
        self.stage = Stage.DARK
        self._since = now
        self._limits = limits

    @property
    def ready(self) -> bool:
        """What `/health/ready` reports in this stage."""
        return self.stage is Stage.FULL or STAGE_TABLE[self.stage].ready

    def advance(self, now: float, facts: StartupFacts) -> list[tuple[Stage, float]]:
        """Moves on as far as `facts` and the limits allow.

        The stages that ended, each with its duration in ms.
        """
        passed = []
        while self.stage is not Stage.FULL:
            rule = STAGE_TABLE[self.stage]
            if not (rule.done(facts) or now - self._since >= getattr(self._limits, rule.limit)):
                break
            passed.append((self.stage, now - self._since))
            self.stage, self._since = Stage(self.stage + 1), now
        return passed
