"""The network model: delays between two machines and whether bytes get through. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from lupinreach.bed.world.random_streams import RandomStream

RETRANSMIT_DELAY_MS = 200.0  # added delay per lost segment
MAX_RETRANSMITS = 4


@dataclass(eq=False)
class Machine:
    """A host at which connections end, with the network faults that strike it."""

    name: str
    zone: int
    vanished: bool = False  # neither sends nor receives; open connections stay open
    refusing: bool = False  # refuses new connections
    resets: float = 0.0  # share of requests whose connection is reset after their last byte
    breaks: float = 0.0  # share of requests whose connection is reset before their last byte
    slower: float = 0.0  # added delay in ms, each way
    narrow: float = 0.0  # bandwidth of each connection in bytes per ms, each way; 0: unlimited


@dataclass
class Paths:
    """One-way delays by zone pair, and the network faults in effect."""

    same_zone_ms: float
    cross_zone_ms: float
    jitter: float  # largest added share of a delay
    loss: float  # share of segments and datagrams that are lost
    rng: RandomStream
    cut_zones: set[int] = field(default_factory=set)  # zones whose traffic with other zones is dropped
    reset_zones: set[int] = field(default_factory=set)  # as `cut_zones`, and connections are reset
    duplicate_share: float = 0.0  # share of datagrams that are delivered twice
    delayed_share: float = 0.0  # share of datagrams that are delayed
    delay_ms: float = 0.0  # added delay of those datagrams
    not_receiving: set[Machine] = field(default_factory=set)  # machines that receive nothing from others
    not_sending: set[Machine] = field(default_factory=set)  # machines that reach no others
    blocked_pairs: set[tuple[str, str]] = field(default_factory=set)  # (sender, receiver), by name

    def reaches(self, a: Machine, b: Machine) -> bool:
        """Whether traffic from `a` reaches `b`. The reverse direction is a separate question."""
        if a is not b and (a in self.not_sending or b in self.not_receiving):
            return False
        if a.vanished or b.vanished or (self.blocked_pairs and (a.name, b.name) in self.blocked_pairs):
            return False
        return a.zone == b.zone or not ({a.zone, b.zone} & (self.cut_zones | self.reset_zones))

    def refuses(self, a: Machine, b: Machine) -> bool:
        """Whether open connections between two machines are reset and new ones refused."""
        return a.zone != b.zone and bool({a.zone, b.zone} & self.reset_zones)

    def delay(self, a: Machine, b: Machine) -> float:
        """The delay in ms of one segment, retransmissions of lost ones included."""
        if a is b:
            return 0.05
        base = (self.same_zone_ms if a.zone == b.zone else self.cross_zone_ms) + a.slower + b.slower
        total = base * (1 + self.jitter * float(self.rng.random()))
        if self.loss:
            for _ in range(MAX_RETRANSMITS):
                if self.rng.random() >= self.loss:
                    break
                total += RETRANSMIT_DELAY_MS
        return total

    def transmission_ms(self, a: Machine, b: Machine, size: int) -> float:
        """Time in ms for which so many bytes occupy their connection and delay the bytes behind them."""
        bandwidth = min((m.narrow for m in (a, b) if m.narrow), default=inf) if a is not b else inf
        return size / bandwidth

    def datagram_delays(self, a: Machine, b: Machine) -> list[float]:
        """The delay in ms of each delivered copy of one datagram; empty if all copies are lost."""
        copies = []
        for _ in range(2 if self.duplicate_share and self.rng.random() < self.duplicate_share else 1):
            if self.reaches(a, b) and not (self.loss and self.rng.random() < self.loss):
                extra = (
                    self.delay_ms if self.delayed_share and self.rng.random() < self.delayed_share else 0.0
                )
                copies.append(self.delay(a, b) + extra)
        return copies
