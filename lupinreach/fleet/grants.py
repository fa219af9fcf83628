"""Fleet-wide budgets as shares that agents lend to each other, without a leader. Pure.

The total is not exceeded under any partition.

A budget is a rate, `total`, of which each of n agents owns total / n. An owner lends what it doesn't use for
the duration of a lease, and keeps `UNLENT_SHARE` of its own share, so that an agent that nobody hears is
never starved. It reclaims nothing before the lease has ended by its own clock. The borrower counts its lease
from the moment of its request, which is before the owner received it, and uses a shorter lease, so that
clocks whose rates are off by up to `DRIFT` in either direction don't matter:

    borrower's lease = lease x (1 - DRIFT) / (1 + DRIFT)

A message that is lost, duplicated or late lends nothing twice: each request has a number, and its answer is
the same however often it is repeated. A new incarnation doesn't know what the previous one has lent, so for
the length of one lease it uses only its unlent share. At every moment, for any number of partitions, losses,
restarts and incarnations:

    total x UNLENT_SHARE  <=  what all agents together may use  <=  total

Two processes of one agent count as one only as far as they know of each other. Until the older one has heard
of the newer one and stops, each has its own share, and the upper bound is (1 + twins / n) x total,
`upper_bound()`.
"""

from __future__ import annotations

from dataclasses import dataclass

UNLENT_SHARE = 0.25  # part of its own share that an owner never lends
# Part of the lendable amount that one request may get, so that a second borrower gets some too.
MAX_LOAN_SHARE = 0.5
DRIFT = 0.01  # largest relative error of a clock's rate, in either direction
LEASE_HEARTBEATS = 8.0  # heartbeat intervals
MAX_LEASES = 64  # outstanding leases of one owner
MIN_LOAN_SHARE = 0.01  # of an own share: smaller loans are not worth a message


def upper_bound(total: float, agents: int, twins: int = 0) -> float:
    """The most that all agents together may use.

    `twins` is the number of second processes that their agents don't know of.
    """
    return total * (1 + twins / agents)


def lower_bound(total: float) -> float:
    """The least that all agents together may use, whatever is lost."""
    return total * UNLENT_SHARE


@dataclass
class _Lease:
    amount: float
    until: float  # ms by the holder's own clock


class Budget:
    """One agent's share of one budget, with what it has lent and borrowed."""

    def __init__(self, now: float, total: float, agents: int, lease: float, first: bool = False) -> None:
        """`total` per s over the fleet.

        `lease` in ms; `first`: no earlier incarnation of this agent can have lent anything.
        """
        self.own = total / agents
        self._lease = lease
        self._borrow_for = lease * (1 - DRIFT) / (1 + DRIFT)
        # Until then leases of an earlier incarnation may still be running.
        self._bound_until = now if first else now + lease * (1 + DRIFT) / (1 - DRIFT)
        # By peer, its incarnation and the request's number; removed when the lease ends.
        self._lent: dict[tuple[int, int, int], _Lease] = {}
        self._borrowed: dict[int, _Lease] = {}  # by request number; removed when the lease ends
        # Request time by number; removed with the answer or when the lease would have ended.
        self._asked: dict[int, float] = {}

    # Usable amounts.

    def usable(self, now: float) -> float:
        """What this agent may use now, per s."""
        self._expire(now)
        if now < self._bound_until:
            available = UNLENT_SHARE * self.own
        else:
            available = self.own - sum(lease.amount for lease in self._lent.values())
        return available + sum(lease.amount for lease in self._borrowed.values())

    def lendable(self, now: float) -> float:
        """What this agent could lend of its own share now; borrowed amounts are not lent on."""
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

    # Borrowing.

    def ask(self, now: float, number: int) -> None:
        """Records a request under a number that this incarnation uses once."""
        self._asked[number] = now

    def granted(self, now: float, number: int, amount: float) -> bool:
        """Takes an answer; false if it was not requested, is too late, or is a duplicate."""
        asked = self._asked.pop(number, None)
        if asked is None or now >= asked + self._borrow_for or not 0 < amount <= self.own:
            return False
        self._borrowed[number] = _Lease(amount, asked + self._borrow_for)
        return True

    # Lending.

    def grant(
        self, now: float, peer: int, incarnation: int, number: int, wanted: float, spare: float
    ) -> float:
        """What that peer is lent of `spare`, which this agent doesn't use.

        A repeated request gets the same answer.
        """
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
        """Number of leases lent and of leases borrowed."""
        return len(self._lent), len(self._borrowed)
