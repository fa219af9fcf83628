"""Views: which store is primary, which hold copies and which vote on the next view; and the choice of a next view."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Member:
    """One store. The identity belongs to its disk: a store with a new disk is a new member."""

    identity: str
    host: str
    zone: str


@dataclass(frozen=True, slots=True)
class View:
    """One configuration of the store group, decided by the voters of the previous view."""

    epoch: int = 0
    uid: str = ""
    primary: str = ""
    copies: tuple[str, ...] = ()  # identities of the stores that hold the document, the primary first
    voters: tuple[Member, ...] = ()

    def to_list(self) -> list[Any]:
        """Serialize to plain values, for messages and the disk."""
        voters = [[voter.identity, voter.host, voter.zone] for voter in self.voters]
        return [self.epoch, self.uid, self.primary, list(self.copies), voters]

    @classmethod
    def from_list(cls, values: list[Any]) -> View:
        """Inverse of `to_list`."""
        epoch, uid, primary, copies, voters = values[:5]
        return cls(epoch, uid, primary, tuple(copies), tuple(Member(*voter[:3]) for voter in voters))

    @property
    def majority(self) -> int:
        """The number of voters that decides the next view."""
        return len(self.voters) // 2 + 1

    def voter(self, identity: str) -> Member | None:
        """The voter with this name, if there is one."""
        return next((voter for voter in self.voters if voter.identity == identity), None)


def bootstrap_view(seed_hosts: list[str]) -> View:
    """The view of epoch 0: its voters are the seeds, named by host since their identities are not known yet."""
    return View(voters=tuple(Member(seed_identity(host), host, "") for host in seed_hosts))


def seed_identity(host: str) -> str:
    """The voter name in the bootstrap view of a seed whose disk was first used at the first start of the system."""
    return "@" + host


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How many machines, zones and regions may fail at once without loss of acknowledged data."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def min_voters(self) -> int:
        """The least number of voters that keeps a majority when the tolerated machines fail."""
        return 2 * self.machines + 1

    @property
    def copies(self) -> int:
        """The number of copies of which one survives any tolerated failure."""
        return max(self.machines, self.zones, self.regions) + 1


@dataclass(slots=True)
class Liveness:
    """State of the stores as the proposer sees them; collections hold identities."""

    alive: dict[str, Member] = field(default_factory=dict)  # in recent contact, including the proposer
    copy_candidates: Collection[str] = ()  # alive and fit to hold a copy
    vote_candidates: Collection[str] = ()  # alive with a working disk, even if slow: may become voters
    presumed_dead: Collection[str] = ()
    leaving: Collection[str] = ()


RegionOf = Callable[[str], str]


def next_voters(
    view: View, liveness: Liveness, tolerance: Tolerance, region_of: RegionOf
) -> tuple[Member, ...]:
    """Choose the voters of a next view.

    A new disk replaces the old one on its machine. A newcomer replaces a voter that is presumed dead or
    leaving. Otherwise it becomes an additional voter only if there are fewer voters than the tolerance needs,
    if every tolerated failure still leaves a majority, or if it improves that margin. Dead and leaving voters
    are removed as long as enough others remain.
    """
    by_host = {member.host: member for member in liveness.alive.values()}
    voters = []
    if view.epoch > 0:
        voters = list(dict.fromkeys(by_host.get(voter.host, voter) for voter in view.voters))
    for newcomer in _newcomers(voters, liveness):
        voters = _with_newcomer(voters, newcomer, liveness, tolerance, region_of)
    return tuple(_without_lost_voters(voters, liveness, tolerance, region_of))


def _newcomers(voters: list[Member], liveness: Liveness) -> list[Member]:
    """Vote candidates that are no voters yet, ordered so that zones with few voters come first."""
    voter_identities = {voter.identity for voter in voters}
    newcomers = [
        member
        for identity, member in sorted(liveness.alive.items(), key=lambda item: item[1].host)
        if identity not in voter_identities
        and identity in liveness.vote_candidates
        and identity not in liveness.leaving
    ]
    voters_by_zone = Counter(voter.zone for voter in voters)
    ranked = []
    for member in newcomers:
        ranked.append((voters_by_zone[member.zone], member.host, member))
        voters_by_zone[member.zone] += 1
    return [member for _, _, member in sorted(ranked, key=lambda entry: entry[:2])]


def _with_newcomer(
    voters: list[Member],
    newcomer: Member,
    liveness: Liveness,
    tolerance: Tolerance,
    region_of: RegionOf,
) -> list[Member]:
    margin = majority_margin(voters, tolerance, region_of)
    replaceable = [
        voter
        for voter in voters
        if voter.identity in liveness.presumed_dead or voter.identity in liveness.leaving
    ]
    for voter in sorted(replaceable, key=lambda voter: voter.zone != newcomer.zone):
        replaced = [newcomer if other is voter else other for other in voters]
        if majority_margin(replaced, tolerance, region_of) >= min(0, margin):
            return replaced
    added = [*voters, newcomer]
    added_margin = majority_margin(added, tolerance, region_of)
    if len(added) <= tolerance.min_voters or added_margin >= 0 or added_margin > margin:
        return added
    return voters


def _without_lost_voters(
    voters: list[Member], liveness: Liveness, tolerance: Tolerance, region_of: RegionOf
) -> list[Member]:
    for voter in list(voters):
        lost = voter.identity in liveness.presumed_dead or voter.identity in liveness.leaving
        rest = [other for other in voters if other is not voter]
        if lost and len(rest) >= tolerance.min_voters and majority_margin(rest, tolerance, region_of) >= 0:
            voters = rest
    return voters


def majority_margin(voters: Collection[Member], tolerance: Tolerance, region_of: RegionOf) -> int:
    """Number of voters beyond a majority that survive the worst tolerated failure; negative: no majority."""
    majority = len(voters) // 2 + 1
    by_zone = Counter(voter.zone for voter in voters)
    by_region = Counter(region_of(voter.zone) for voter in voters)
    worst = max(
        tolerance.machines,
        sum(size for _, size in by_zone.most_common(tolerance.zones)),
        sum(size for _, size in by_region.most_common(tolerance.regions)),
    )
    return len(voters) - worst - majority


def next_copies(
    primary: Member,
    preferred: Collection[str],
    voters: Collection[Member],
    alive: Collection[str],
    tolerance: Tolerance,
    region_of: RegionOf,
) -> tuple[str, ...] | None:
    """Choose the primary and enough live voters, spread over zones and regions; None if there are too few."""
    chosen = [primary]
    remaining = [voter for voter in voters if voter.identity in alive and voter.identity != primary.identity]
    while not _meets_tolerance(chosen, tolerance, region_of):
        if not remaining:
            return None
        zones = {member.zone for member in chosen}
        regions = {region_of(member.zone) for member in chosen}

        def preference(
            member: Member, zones: set[str] = zones, regions: set[str] = regions
        ) -> tuple[Any, ...]:
            spread = (region_of(member.zone) in regions, member.zone in zones)
            return *spread, member.identity not in preferred, member.host

        best = min(remaining, key=preference)
        remaining.remove(best)
        chosen.append(best)
    return tuple(member.identity for member in chosen)


def _meets_tolerance(chosen: list[Member], tolerance: Tolerance, region_of: RegionOf) -> bool:
    return (
        len(chosen) >= tolerance.copies
        and len({member.zone for member in chosen}) > tolerance.zones
        and len({region_of(member.zone) for member in chosen}) > tolerance.regions
    )
