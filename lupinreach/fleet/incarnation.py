"""Life numbers: which process of one agent is the newest. Pure.

A life is a number and a token. The number is one above what the disk and the peers know; the token is drawn by each process,
so that two lives are unlike even where disk and peers both know too little (an older copy, another's disk, none, a second
process on the same one). Of two lives the greater is the newer.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MOST_JUMP = (
    1 << 12
)  # lives by which one peer's word alone may raise a number: more restarts than it can have missed
MOST_NUMBER = (1 << 32) - 1


@dataclass(frozen=True, order=True)
class Incarnation:
    number: int
    token: int


def credible_number(kept: int, claims: Sequence[int]) -> int:
    """The highest number that counts: what the disk holds, or peers claim. An absurd claim waits for a second.

    Guards against one peer that is wrong, or lies, and would use all numbers up.
    """
    sound = [c for c in claims if c <= kept + MOST_JUMP or sum(other >= c for other in claims) > 1]
    return min(max([kept, *sound]), MOST_NUMBER - 1)


class OwnIncarnation:
    """The life of this process: raised by what is heard while it returns, never after."""

    def __init__(self, kept: int, token: int, kept_beat: int = 0) -> None:
        """`kept` and `kept_beat` are the life that the disk knows of, and a beat that this life hadn't told before."""
        self.life = Incarnation(credible_number(kept, ()) + 1, token)
        self.settled = False  # the time to ask is over: from here on a higher life is another process
        self.superseded = False
        self._claims: dict[int, int] = {}  # by peer; no more than there are peers
        self._kept = kept, kept_beat
        self._met = (0, 0)  # the latest life and beat of this agent's that peers have met

    @property
    def behind(self) -> bool:
        """If peers have met more of a former life than the disk knows of: it is an older one."""
        return self._met > self._kept

    def hear(self, peer: int, other: Incarnation, beat: int = 0) -> bool:
        """A peer knows that life of this agent's; true if this one's number was raised for it."""
        if other.token != self.life.token and not self.settled:
            self._met = max(self._met, (other.number, beat))
        if other <= self.life or other.token == self.life.token:
            return False
        if self.settled:
            # Guards against two processes that outbid each other for ever: the older one falls silent.
            self.superseded = self.superseded or other.number <= self.life.number + MOST_JUMP
            return False
        self._claims[peer] = max(other.number, self._claims.get(peer, 0))
        number = credible_number(self._kept[0], list(self._claims.values())) + 1
        raised = number > self.life.number
        if raised:
            self.life = Incarnation(number, self.life.token)
        return raised
