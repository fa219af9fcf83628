"""Life numbers: which process of one agent is the newest. Pure.

A life is a number and a token. The number is one above what the disk and the peers know; the token is drawn by each process,
so that two lives are unlike even where disk and peers both know too little (an older copy, another's disk, none, a second
process on the same one). Of two lives the greater is the newer.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_JUMP = (
    1 << 12
)  # lives by which one peer's word alone may raise a number: more restarts than it can have missed
MAX_NUMBER = (1 << 32) - 1


@dataclass(frozen=True, order=True)
class Incarnation:
    number: int
    token: int


def credible_number(stored: int, claims: Sequence[int]) -> int:
    """The highest number that counts: what the disk holds, or peers claim. An absurd claim waits for a second.

    Guards against one peer that is wrong, or lies, and would use all numbers up.
    """
    sound = [c for c in claims if c <= stored + MAX_JUMP or sum(other >= c for other in claims) > 1]
    return min(max([stored, *sound]), MAX_NUMBER - 1)


class OwnIncarnation:
    """The life of this process: raised by what is heard while it returns, never after."""

    def __init__(self, stored: int, token: int, stored_heartbeat: int = 0) -> None:
        """`kept` and `kept_beat` are the life that the disk knows of, and a beat that this life hadn't told before."""
        self.incarnation = Incarnation(credible_number(stored, ()) + 1, token)
        self.settled = False  # the time to ask is over: from here on a higher life is another process
        self.superseded = False
        self._claims: dict[int, int] = {}  # by peer; no more than there are peers
        self._stored = stored, stored_heartbeat
        self._seen_by_peers = (0, 0)  # the latest life and beat of this agent's that peers have met

    @property
    def behind(self) -> bool:
        """If peers have met more of a former life than the disk knows of: it is an older one."""
        return self._seen_by_peers > self._stored

    def observe(self, peer: int, other: Incarnation, heartbeat: int = 0) -> bool:
        """A peer knows that life of this agent's; true if this one's number was raised for it."""
        if other.token != self.incarnation.token and not self.settled:
            self._seen_by_peers = max(self._seen_by_peers, (other.number, heartbeat))
        if other <= self.incarnation or other.token == self.incarnation.token:
            return False
        if self.settled:
            # Guards against two processes that outbid each other for ever: the older one falls silent.
            self.superseded = self.superseded or other.number <= self.incarnation.number + MAX_JUMP
            return False
        self._claims[peer] = max(other.number, self._claims.get(peer, 0))
        number = credible_number(self._stored[0], list(self._claims.values())) + 1
        raised = number > self.incarnation.number
        if raised:
            self.incarnation = Incarnation(number, self.incarnation.token)
        return raised
