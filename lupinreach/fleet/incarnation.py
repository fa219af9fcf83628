"""Incarnation numbers: which process of one agent is the newest. Pure.

An incarnation is a number and a token. The number is one above the highest one that the disk and the peers
know. Each process draws its own token, so that two incarnations differ even where disk and peers both know
too little (an older copy, another agent's disk, no disk, a second process on the same disk). Of two
incarnations the greater one is the newer one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Largest increase of a number by the claim of one peer alone: more restarts than an agent can have missed.
MAX_JUMP = 1 << 12
MAX_NUMBER = (1 << 32) - 1


@dataclass(frozen=True, order=True)
class Incarnation:
    """Identifies one process of an agent; ordered by age."""

    number: int
    token: int


def credible_number(stored: int, claims: Sequence[int]) -> int:
    """The highest credible number that the disk holds or peers claim.

    An implausibly high claim needs a second peer's.
    Guards against one faulty or lying peer that would use up all numbers.
    """
    sound = [c for c in claims if c <= stored + MAX_JUMP or sum(other >= c for other in claims) > 1]
    return min(max([stored, *sound]), MAX_NUMBER - 1)


class OwnIncarnation:
    """The incarnation of this process: raised by peers' claims during startup, never afterwards."""

    def __init__(self, stored: int, token: int, stored_heartbeat: int = 0) -> None:
        """`stored` is the incarnation number on the disk, `stored_heartbeat` its next heartbeat at that time."""
        self.incarnation = Incarnation(credible_number(stored, ()) + 1, token)
        self.settled = False  # the startup query is over: from now on a higher incarnation is another process
        self.superseded = False
        self._claims: dict[int, int] = {}  # highest claimed number by peer; at most one entry per peer
        self._stored = stored, stored_heartbeat
        self._seen_by_peers = (0, 0)  # the latest number and heartbeat of this agent that peers have received

    @property
    def behind(self) -> bool:
        """Whether peers know a later state of an earlier incarnation: the disk then is an older copy."""
        return self._seen_by_peers > self._stored

    def observe(self, peer: int, other: Incarnation, heartbeat: int = 0) -> bool:
        """Takes an incarnation of this agent that a peer knows.

        True if this process's number was raised above it.
        """
        if other.token != self.incarnation.token and not self.settled:
            self._seen_by_peers = max(self._seen_by_peers, (other.number, heartbeat))
        if other <= self.incarnation or other.token == self.incarnation.token:
            return False
        if self.settled:
            # Guards against two processes that raise their numbers over each other's forever: the older one
            # stops sending.
            self.superseded = self.superseded or other.number <= self.incarnation.number + MAX_JUMP
            return False
        self._claims[peer] = max(other.number, self._claims.get(peer, 0))
        number = credible_number(self._stored[0], list(self._claims.values())) + 1
        raised = number > self.incarnation.number
        if raised:
            self.incarnation = Incarnation(number, self.incarnation.token)
        return raised
