"""The network as a model: how long bytes take between two machines, and whether they get there. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from lupinreach.bed.world.random_streams import RandomStream

RESEND = 200.0  # ms that a lost segment costs
MOST_RESENDS = 4


@dataclass(eq=False)
class Machine:
    """One place that connections end at."""

    name: str
    zone: int
    vanished: bool = False  # says nothing and hears nothing; what is open stays open
    refusing: bool = False  # connections are refused
    resets: float = 0.0  # share of the requests after whose last byte a connection to it breaks,
    breaks: float = 0.0  # and of those that break before it
    slower: float = 0.0  # ms more, each way
    narrow: float = 0.0  # bytes a ms that one connection of its passes at most, each way; 0: any number


@dataclass
class Paths:
    """One-way delays in ms by zone pair, and what is cut."""

    same: float
    cross: float
    jitter: float  # share of the delay
    loss: float  # share of segments
    chance: RandomStream
    cut_zones: set[int] = field(default_factory=set)  # zones that can't reach the others
    reset_zones: set[int] = field(
        default_factory=set
    )  # zones that are cut too, whose connections to the others are reset
    duplicate_share: float = 0.0  # share of the datagrams that come twice,
    delayed_share: float = 0.0  # and that are held back
    delay_ms: float = 0.0  # for so many ms
    not_receiving: set[Machine] = field(default_factory=set)  # nothing gets to them,
    not_sending: set[Machine] = field(default_factory=set)  # nor away from these, but within the machine
    blocked_pairs: set[tuple[str, str]] = field(
        default_factory=set
    )  # from the first by name nothing gets to the second

    def reaches(self, a: Machine, b: Machine) -> bool:
        """If what `a` sends gets to `b`; the way back is asked for by itself."""
        if a is not b and (a in self.not_sending or b in self.not_receiving):
            return False
        if a.vanished or b.vanished or (self.blocked_pairs and (a.name, b.name) in self.blocked_pairs):
            return False
        return a.zone == b.zone or not ({a.zone, b.zone} & (self.cut_zones | self.reset_zones))

    def refuses(self, a: Machine, b: Machine) -> bool:
        """If a connection between them is reset, and a new one refused."""
        return a.zone != b.zone and bool({a.zone, b.zone} & self.reset_zones)

    def delay(self, a: Machine, b: Machine) -> float:
        """Ms for one segment that gets there."""
        if a is b:
            return 0.05
        usual = (self.same if a.zone == b.zone else self.cross) + a.slower + b.slower
        took = usual * (1 + self.jitter * float(self.chance.random()))
        if self.loss:
            for _ in range(MOST_RESENDS):
                if self.chance.random() >= self.loss:
                    break
                took += RESEND
        return took

    def transmission_ms(self, a: Machine, b: Machine, size: int) -> float:
        """Ms for which so many bytes hold up what comes after them on their connection."""
        narrow = min((m.narrow for m in (a, b) if m.narrow), default=inf) if a is not b else inf
        return size / narrow

    def datagram_delays(self, a: Machine, b: Machine) -> list[float]:
        """Ms after which each copy of one datagram comes; none where it is lost."""
        copies = []
        for _ in range(2 if self.duplicate_share and self.chance.random() < self.duplicate_share else 1):
            if self.reaches(a, b) and not (self.loss and self.chance.random() < self.loss):
                held = (
                    self.delay_ms if self.delayed_share and self.chance.random() < self.delayed_share else 0.0
                )
                copies.append(self.delay(a, b) + held)
        return copies
