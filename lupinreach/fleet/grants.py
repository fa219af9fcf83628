"""Budgets of the fleet in shares that are lent: no leader, and in any cut no more is spent than there is. Pure.

A budget is a rate, `total`, of which each of n agents owns total / n. An owner lends what it doesn't use, for a lease; it keeps
`FLOOR` of its own, so that silence is never starvation. It takes back nothing before the lease is over by its own
clock; who borrows counts from the moment it asked, so before the owner had even heard, and by a shorter lease, so that clocks
which run apart by `DRIFT` each way don't matter:

    borrower's lease = lease x (1 - DRIFT) / (1 + DRIFT)

A word that is lost, doubled or late lends nothing twice: a question has a number, and its answer is the same however often it is
asked. A life that stands up doesn't know what the one before has lent, so for one lease it has its floor alone. So at every moment, in any
number of parts and with any losses, restarts and lives,

    total x FLOOR  <=  what all agents together may use  <=  total

where two processes of one agent count as one only as far as they know of each other: until the older one has heard of the newer and
falls silent, each has its own, and the upper bound is (1 + twins / n) x total, `upper_bound()`.
"""

from __future__ import annotations

from dataclasses import dataclass

UNLENT_SHARE = 0.25  # of its own share that an owner never lends
MAX_LOAN_SHARE = (
    0.5  # of what an owner could lend now that one question gets at most, so that a second asker finds some
)
DRIFT = 0.01  # by which clocks run apart each way
LEASE_HEARTBEATS = 8.0  # beats
MAX_LEASES = 64  # leases that an owner has out at once
MIN_LOAN_SHARE = 0.01  # of an own share: less isn't worth a word


def upper_bound(total: float, agents: int, twins: int = 0) -> float:
    """The most that all agents together may use, with so many unknown second processes of agents."""
    return total * (1 + twins / agents)


def lower_bound(total: float) -> float:
    """What all have together at the least, whatever is lost."""
    return total * UNLENT_SHARE


@dataclass
class _Lease:
    amount: float
    until: float  # ms by the holder's own clock


class Budget:
    """One agent's part of one budget."""

    def __init__(self, now: float, total: float, agents: int, lease: float, first: bool = False) -> None:
        """`total` a s over the fleet; `lease` in ms; `first`: no life of this agent can have lent anything yet."""
        self.own = total / agents
        self._lease = lease
        self._borrow_for = lease * (1 - DRIFT) / (1 + DRIFT)
        self._bound_until = (
            now if first else now + lease * (1 + DRIFT) / (1 - DRIFT)
        )  # what a former life lent runs out
        self._lent: dict[
            tuple[int, int, int], _Lease
        ] = {}  # by peer, its life and the question's number; each leaves after its lease
        self._borrowed: dict[int, _Lease] = {}  # by number; each leaves as it runs out
        self._asked: dict[int, float] = {}  # when, by number; each leaves with its answer or its lease

    # What may be used.

    def usable(self, now: float) -> float:
        """A s, at this moment."""
        self._expire(now)
        if now < self._bound_until:
            available = UNLENT_SHARE * self.own
        else:
            available = self.own - sum(lease.amount for lease in self._lent.values())
        return available + sum(lease.amount for lease in self._borrowed.values())

    def lendable(self, now: float) -> float:
        """What of the own share could go to others now: what is borrowed is not passed on."""
        self._expire(now)
        if now < self._bound_until or len(self._lent) >= MAX_LEASES:
            return 0.0
        return max(0.0, (1 - UNLENT_SHARE) * self.own - sum(lease.amount for lease in self._lent.values()))

    def _expire(self, now: float) -> None:
        for table in (self._lent, self._borrowed):
            for key in [k for k, lease in table.items() if now >= lease.until]:
                del table[key]  # type: ignore[attr-defined]
        for number in [n for n, at in self._asked.items() if now >= at + self._borrow_for]:
            del self._asked[number]

    # One that has too little.

    def ask(self, now: float, number: int) -> None:
        """A question goes out under this number, which this life uses once."""
        self._asked[number] = now

    def granted(self, now: float, number: int, amount: float) -> bool:
        """An answer; false where nobody asked, it is over, or it has come before."""
        asked = self._asked.pop(number, None)
        if asked is None or now >= asked + self._borrow_for or not 0 < amount <= self.own:
            return False
        self._borrowed[number] = _Lease(amount, asked + self._borrow_for)
        return True

    # One that may have some to spare.

    def grant(
        self, now: float, peer: int, incarnation: int, number: int, wanted: float, spare: float
    ) -> float:
        """What that peer gets, of `spare` that this agent doesn't use; asked once more, the same."""
        self._expire(now)
        key = peer, incarnation, number
        if key in self._lent:
            return self._lent[key].amount
        amount = min(wanted, self.own, MAX_LOAN_SHARE * min(spare, self.lendable(now)))
        if amount < MIN_LOAN_SHARE * self.own:
            return 0.0
        self._lent[key] = _Lease(amount, now + self._lease)
        return amount

    @property
    def lease_counts(self) -> tuple[int, int]:
        """Leases lent, and borrowed."""
        return len(self._lent), len(self._borrowed)
