"""Views: who is primary, who holds copies, who votes on the next view; and the choice of a next one."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Member:
    """One store. Its identity is that of its disk: a new disk is a new member."""

    identity: str
    host: str
    zone: str


@dataclass(frozen=True, slots=True)
class View:
    """One configuration of the group of stores, decided by the voters of the view before it."""

    epoch: int = 0
    uid: str = ""
    primary: str = ""
    copies: tuple[str, ...] = ()  # identities, the primary first
    voters: tuple[Member, ...] = ()

    def to_list(self) -> list[Any]:
        """As plain values, for messages and the disk."""
        voters = [[voter.identity, voter.host, voter.zone] for voter in self.voters]
        return [self.epoch, self.uid, self.primary, list(self.copies), voters]

    @classmethod
    def from_list(cls, values: list[Any]) -> View:
        """The inverse of `to_list`."""
        epoch, uid, primary, copies, voters = values[:5]
        return cls(epoch, uid, primary, tuple(copies), tuple(Member(*voter[:3]) for voter in voters))

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def voter(self, identity: str) -> Member | None:
        return next((voter for voter in self.voters if voter.identity == identity), None)


def founding_view(seed_hosts: list[str]) -> View:
    """The view before the first one: its voters are the seeds, named by host until their disks have identities."""
    return View(voters=tuple(Member(seed_identity(host), host, "") for host in seed_hosts))


def seed_identity(host: str) -> str:
    """The name under which a seed whose disk was first used at the first start votes on the first view."""
    return "@" + host


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at once with nothing acknowledged lost."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def least_voters(self) -> int:
        return 2 * self.machines + 1

    @property
    def copies(self) -> int:
        return max(self.machines, self.zones, self.regions) + 1


@dataclass(slots=True)
class Liveness:
    """Whom the proposer hears, and whom it has not heard for long."""

    alive: dict[str, Member] = field(default_factory=dict)  # by identity, the proposer among them
    long_dead: Collection[str] = ()


def next_voters(view: View, liveness: Liveness, tolerance: Tolerance) -> tuple[Member, ...]:
    """The voters of a next view: a new disk replaces the old one, live newcomers join, surplus dead ones leave."""
    alive = liveness.alive
    by_host = {member.host: member for member in alive.values()}
    if view.epoch == 0:
        return tuple(sorted(alive.values(), key=lambda member: member.host))
    voters: list[Member] = []
    for voter in view.voters:
        at_host = by_host.get(voter.host)
        voters.append(at_host if at_host is not None else voter)
    voters = list(dict.fromkeys(voters))
    for newcomer in sorted(alive.values(), key=lambda member: member.host):
        if newcomer not in voters:
            _join(voters, newcomer, liveness)
    for voter in list(voters):
        if len(voters) > tolerance.least_voters and voter.identity in liveness.long_dead:
            voters.remove(voter)
    return tuple(voters)


def _join(voters: list[Member], newcomer: Member, liveness: Liveness) -> None:
    for position, voter in enumerate(voters):
        if voter.identity in liveness.long_dead:
            voters[position] = newcomer
            return
    voters.append(newcomer)


def next_copies(
    primary: Member,
    preferred: Collection[str],
    voters: Collection[Member],
    alive: Collection[str],
    tolerance: Tolerance,
    region_of: Callable[[str], str],
) -> tuple[str, ...] | None:
    """The primary and enough live voters, spread over zones and regions; None where there are too few."""
    chosen = [primary]
    free = [voter for voter in voters if voter.identity in alive and voter.identity != primary.identity]
    while not _enough(chosen, tolerance, region_of):
        if not free:
            return None
        zones = {member.zone for member in chosen}
        regions = {region_of(member.zone) for member in chosen}

        def order(member: Member, zones: set[str] = zones, regions: set[str] = regions) -> tuple[Any, ...]:
            spread = (region_of(member.zone) in regions, member.zone in zones)
            return *spread, member.identity not in preferred, member.host

        best = min(free, key=order)
        free.remove(best)
        chosen.append(best)
    return tuple(member.identity for member in chosen)


def _enough(chosen: list[Member], tolerance: Tolerance, region_of: Callable[[str], str]) -> bool:
    return (
        len(chosen) >= tolerance.copies
        and len({member.zone for member in chosen}) > tolerance.zones
        and len({region_of(member.zone) for member in chosen}) > tolerance.regions
    )
