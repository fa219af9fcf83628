"""How an agent returns: what it asks, how answers are merged, which list it believes, in which order it serves. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import inf

from lupinreach.fleet.incarnation import Incarnation
from lupinreach.fleet.wire import Drain, Message

QUERIED_PEERS = 5  # peers that an agent which stands up asks
LONE_CLAIM_SHARE = 0.25  # share of the ready backends that the word of one peer alone may hold back
RESET_AFTER = (
    3.0  # x the time within which a registry has to be asked: below the floor for so long, it was reset
)
MAX_DRAINS = 1024


# What others say.


@dataclass
class PeerAnswer:
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
    """The question of one that stands up, to a few peers; over when all have answered whole, or after `within` ms.

    A fleet in which nobody remembers doesn't wait: who has just stood up says so at once, in one part.
    """

    def __init__(self, now: float, peers: Iterable[int], nonce: int, within: float) -> None:
        self.peers = tuple(peers)
        self.nonce = nonce
        self._until = now + within
        self.answers: dict[int, PeerAnswer] = {}  # by peer

    def add_answer(self, m: Message) -> bool:
        """An answer's part; false where nobody asked for it."""
        if m.nonce != self.nonce or m.sender not in self.peers:
            return False
        answer = self.answers.setdefault(
            m.sender, PeerAnswer(m.revision, m.remembers, m.alive, m.known, expected_parts=m.parts)
        )
        answer.parts.add(m.part)
        answer.drains.update(m.drains)
        return True

    def is_over(self, now: float) -> bool:
        return now >= self._until or (
            len(self.answers) == len(self.peers) and all(a.complete for a in self.answers.values())
        )

    def alive(self) -> int:
        """How many agents stand, by the median of who remembers; 0: nobody does."""
        counts = sorted(a.alive for a in self.answers.values() if a.remembers)
        return counts[len(counts) // 2] if counts else 0


# Which list is believed.


class RevisionFloor:
    """The highest revision that is surely the registry's, and if a list is older than that.

    A registry that was reset on purpose stays below for good, one that came back with an old list catches up or is
    mended: told apart by time alone, `RESET_AFTER` times what the settings give an agent to ask within. Until then no
    backend is given up on the old list's word, and none that drains gets anything new.
    """

    def __init__(self, revision: int, within: float) -> None:
        """`within` in ms."""
        self.revision = revision
        self._reset_after = RESET_AFTER * within
        self._below_since: float | None = None
        self._claims: dict[int, int] = {}  # by peer: the highest it has seen; no more than there are peers

    def raise_to(self, revision: int) -> None:
        """This agent has it from the registry, or from its own disk."""
        self.revision = max(self.revision, revision)

    def add_claim(self, peer: int, revision: int) -> None:
        """A peer says that it has seen this revision: it counts as soon as a second one has.

        Good news from one alone waits: a lone claim of 2^60 makes no list old.
        """
        self._claims[peer] = revision
        claims = sorted(self._claims.values(), reverse=True)
        if len(claims) > 1:
            self.raise_to(claims[1])

    def is_older(self, now: float, revision: int) -> bool:
        """The registry has spoken: is it older than what is known of it?"""
        if revision >= self.revision:
            self.revision, self._below_since = revision, None
            return False
        if self._below_since is None:
            self._below_since = now
        if now - self._below_since < self._reset_after:
            return True
        self.revision, self._below_since = revision, None
        self._claims.clear()  # they were of before
        return False


class DrainSet:
    """Backend processes that get nothing new whatever an older list says. Emptied as they restart, go or are lifted."""

    def __init__(self, kept: Iterable[Drain] = ()) -> None:
        self._own: dict[Drain, None] = dict.fromkeys(
            kept
        )  # told by the registry, in this life or a former one
        self._claims: dict[Drain, set[int]] = {}  # by peers

    def add(self, drain: Drain) -> bool:
        """The registry says so; true if that is new."""
        if drain in self._own or len(self._own) >= MAX_DRAINS:
            return False
        self._own[drain] = None
        return True

    def lift(self, backend: int, boot: int) -> bool:
        """The registry, not older than the floor, says that it is ready, or gone; true if it was held to drain."""
        lifted = [d for d in (*self._own, *self._claims) if d.backend == backend and d.boot <= boot]
        for d in lifted:
            self._own.pop(d, None)
            self._claims.pop(d, None)
        return bool(lifted)

    def add_claims(self, peer: int, drains: Iterable[Drain]) -> None:
        for d in drains:
            if d in self._claims or len(self._claims) < MAX_DRAINS:
                self._claims.setdefault(d, set()).add(peer)

    def drop_claims(self) -> bool:
        """What peers claimed counts no more; true if anything did.

        Guards against a lie, or a late word, that no change of the list would ever lift. Not done as soon as the registry
        is past the floor: one that came back with an old list counts on from there, and its drains are still missing.
        """
        had_claims = bool(self._claims)
        self._claims.clear()
        return had_claims

    def all(self) -> list[Drain]:
        """What this agent says to others: what it has of the registry itself, not what it has of hearsay."""
        return list(self._own)

    def withheld(self, ready: Iterable[Drain]) -> set[int]:
        """Which of these ready backends (name and boot) get nothing new.

        Bad news counts at once, but one peer's word alone holds back at most `LONE` of them: guards against a peer
        that says of all that they drain.
        """
        ready = list(ready)
        found = {d.backend for d in ready if d in self._own or len(self._claims.get(d, ())) > 1}
        remaining = int(LONE_CLAIM_SHARE * len(ready))
        for d in sorted(ready, key=lambda d: (d.backend, d.boot)):
            if remaining > 0 and d.backend not in found and d in self._claims:
                found.add(d.backend)
                remaining -= 1
        return found


# The order of return.


class Stage(IntEnum):
    DARK = 0
    STANDING = 1
    LISTENING = 2
    TRYING = 3
    RISING = 4
    FULL = 5


@dataclass(frozen=True)
class StartupFacts:
    """What is known at one look."""

    read: bool = False  # the store was read, or there is none
    asked: bool = False  # the question to peers is over
    listed: int = 0  # ready backends in the list that is followed
    registry: bool = False  # the registry itself has spoken, and is not older than the floor
    answered: bool = False  # a backend has answered a shot of this life
    cold: bool = True  # at least half of the listed backends are cold


@dataclass(frozen=True)
class StageRule:
    stage: Stage
    ready: bool  # what `/health/ready` says
    done: Callable[[StartupFacts], bool]
    limit: str  # its longest stay, as a name of `Stays`
    service: str


@dataclass(frozen=True)
class StageLimits:
    """The longest stays, ms."""

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
    """Where an agent is on its way back; goes forward alone, several steps at one look if it can."""

    def __init__(self, now: float, limits: StageLimits) -> None:
        self.stage = Stage.DARK
        self._since = now
        self._limits = limits

    @property
    def ready(self) -> bool:
        return self.stage is Stage.FULL or STAGE_TABLE[self.stage].ready

    def advance(self, now: float, facts: StartupFacts) -> list[tuple[Stage, float]]:
        """The stages that end now, each with how long it took in ms."""
        passed = []
        while self.stage is not Stage.FULL:
            rule = STAGE_TABLE[self.stage]
            if not (rule.done(facts) or now - self._since >= getattr(self._limits, rule.limit)):
                break
            passed.append((self.stage, now - self._since))
            self.stage, self._since = Stage(self.stage + 1), now
        return passed
