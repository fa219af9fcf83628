"""Membership as one store sees it: last contact with and health of each other store, and their voter names."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.mesh.store.view import Liveness, Member, View, seed_identity

SUSPECT_AFTER_S = 0.8  # a member without contact for this long counts as down
PRESUMED_DEAD_AFTER_S = 1.5  # a voter without contact for this long may be replaced by another store
AVOID_DURATION_S = 3.0  # a member that did not answer a write or an `Install` is not chosen for this long


@dataclass(slots=True)
class KnownMember:
    """Another store, and what is known of its health."""

    member: Member
    born_first: bool  # its disk was first used at the first start of the system
    last_contact_at: float
    healthy: bool = True  # its disk takes writes
    leaving: bool = False  # its process is shutting down
    avoided_until: float = 0.0


class Members:
    """All stores that have sent a `StoreHello`, with a failure detector.

    Only the choice of a next view depends on the failure detector; safety never does.
    """

    def __init__(self, me: Member, born_first: bool) -> None:
        self.me = me
        self._born_first = born_first
        self.others: dict[str, KnownMember] = {}
        self._now = 0.0
        self._started_at: float | None = None

    def record_contact(
        self, member: Member, born_first: bool, now: float, healthy: bool = True, leaving: bool = False
    ) -> None:
        """Record a hello or heartbeat of a store; forget any earlier identity at its address."""
        for identity, known in list(self.others.items()):
            if known.member.host == member.host and identity != member.identity:
                del self.others[identity]
        known = self.others.get(member.identity)
        if known is None:
            self.others[member.identity] = KnownMember(member, born_first, now, healthy, leaving)
            return
        known.last_contact_at, known.healthy, known.leaving = now, healthy, leaving

    def advance(self, now: float, stalled: bool) -> None:
        """Set the time. After a stall of this process no member counts as silent: nothing could be received."""
        if self._started_at is None:
            self._started_at = now
        self._now = now
        if stalled:
            for known in self.others.values():
                known.last_contact_at = now

    def age_s(self) -> float:
        """Seconds since this process started."""
        return self._now - (self._started_at if self._started_at is not None else self._now)

    def silent_s(self, identity: str) -> float:
        """Seconds since the last contact with a store."""
        if identity == self.me.identity:
            return 0.0
        known = self.others.get(identity)
        return self._now - known.last_contact_at if known is not None else self.age_s()

    def avoid(self, identity: str) -> None:
        """Don't count on a store for `AVOID_DURATION_S`: it is alive, but left a request unanswered."""
        known = self.others.get(identity)
        if known is not None:
            known.avoided_until = self._now + AVOID_DURATION_S

    def is_alive(self, identity: str) -> bool:
        """Whether the last contact with the store is at most `SUSPECT_AFTER_S` ago."""
        return self.silent_s(identity) <= SUSPECT_AFTER_S

    def has_failed(self, identity: str) -> bool:
        """Whether the store is unfit to hold a copy: silent, with a failing disk, or unresponsive."""
        if identity == self.me.identity:
            return False
        known = self.others.get(identity)
        if known is None:
            return not self.is_alive(identity)
        return not self.is_alive(identity) or not known.healthy or known.avoided_until > self._now

    def is_leaving(self, identity: str) -> bool:
        """Whether the store's process is shutting down."""
        known = self.others.get(identity)
        return known is not None and known.leaving

    def liveness(self, view: View) -> Liveness:
        """The state of all stores, as input for the choice of a next view."""
        alive = {self.me.identity: self.me}
        alive |= {
            identity: known.member for identity, known in self.others.items() if self.is_alive(identity)
        }
        copy_candidates = {identity for identity in alive if not self.has_failed(identity)}
        vote_candidates = {
            identity for identity in alive if identity not in self.others or self.others[identity].healthy
        }
        presumed_dead = {
            voter.identity for voter in view.voters if self.silent_s(voter.identity) > PRESUMED_DEAD_AFTER_S
        }
        leaving = {identity for identity in self.others if self.is_leaving(identity)}
        return Liveness(alive, copy_candidates, vote_candidates, presumed_dead, leaving)

    def reaches_majority(self, view: View) -> bool:
        """Whether a majority of the view's voters is alive."""
        alive = sum(self.is_alive(voter.identity) for voter in view.voters)
        return alive >= view.majority

    # Voter names.

    def voter_names(self, identity: str) -> tuple[str, ...]:
        """The names a store may have among the voters: seeds vote on the first view under a name made of the host."""
        if identity == self.me.identity:
            member, born_first = self.me, self._born_first
        else:
            known = self.others.get(identity)
            if known is None:
                return (identity,)
            member, born_first = known.member, known.born_first
        return (identity, seed_identity(member.host)) if born_first else (identity,)

    def voter_name_in(self, view: View, identity: str) -> str | None:
        """The name under which a store is a voter of a view; None if it has no vote."""
        return next((name for name in self.voter_names(identity) if view.voter(name)), None)

    def voters(self, view: View) -> list[str]:
        """Identities of the known stores that are voters of a view, and so decide the one after it."""
        return [name for name in (self.me.identity, *self.others) if self.voter_name_in(view, name)]
