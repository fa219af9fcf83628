"""Checks the bounds on what agents share, each time an agent of a run in virtual time evaluates its shared state.

Each maximum is the greatest observed value divided by the bound's own formula (`grants.upper_bound`,
`observations.max_diverted_share`, `counts.rate_bound`, `uptimes.earliest_up_since`), so a value over 1
exceeds the bound.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from lupinreach.fleet import counts, grants
from lupinreach.fleet.observations import MAX_AFFECTED_SHARE, MAX_COST_FACTOR, max_diverted_share
from lupinreach.fleet.uptimes import earliest_up_since
from lupinreach.ops.sharing import Sharing

ROUNDING_FACTOR = 1 + 1e-6  # allowed for rounding
CLOCK_DRIFT_FACTOR = 1.02  # a rate measured by one agent's clock may differ by this much on another's
CHECKED_BOUNDS = "trials", "dearer", "counts", "stood"


class BoundsMonitor:
    """Observes the shared state of all agents of a run and keeps the maximum of each checked value."""

    @property
    def exceeded(self) -> list[str]:
        """The names of the bounds that were exceeded."""
        return [name for name in CHECKED_BOUNDS if self.maxima[name] > 1]

    def __init__(self, agents: int) -> None:
        self.agent_count = agents
        self.sharing_by_agent: dict[int, Sharing] = {}  # by agent: its newest incarnation
        self.reported_counts: dict[
            tuple[int, int, int], list[tuple[float, int]]
        ] = {}  # by cell, agent and incarnation: times by its own clock, and counts
        self.maxima = {
            "trials": 0.0,
            "dearer": 0.0,
            "counts": 0.0,
            "stood": 0.0,
            "lent": 0,
            "heard": 0,
            "looks": 0,
        }

    def look(self, sharing: Sharing) -> None:
        """Updates the maxima after one agent has evaluated its shared state."""
        agent, now = sharing.observations.me, sharing._agent.clock.now()
        self.sharing_by_agent[agent], maxima = sharing, self.maxima
        maxima["looks"] += 1
        usable = [
            other.trials.usable(other._agent.clock.now())
            for other in self.sharing_by_agent.values()
            if other.trials is not None
        ]
        if sharing.trials is not None:
            # The total follows the longest backend list: an agent that knows fewer backends has a smaller
            # share.
            total = self.agent_count * max(
                other.trials.own for other in self.sharing_by_agent.values() if other.trials is not None
            )
            maxima["trials"] = max(
                maxima["trials"], sum(usable) / grants.upper_bound(total, self.agent_count) / ROUNDING_FACTOR
            )
            maxima["lent"] += sharing.trials.lease_counts[0]
        factors = [b.cost_factor for b, _ in sharing._agent.balancer.relative_latencies()]
        if factors:
            redirected_share = sum(1 - 1 / f for f in factors) / len(factors)
            maxima["dearer"] = max(
                maxima["dearer"],
                redirected_share / max_diverted_share() / ROUNDING_FACTOR,
                max(factors) / MAX_COST_FACTOR / ROUNDING_FACTOR,
                sum(f > 1 for f in factors) / len(factors) / MAX_AFFECTED_SHARE / ROUNDING_FACTOR,
            )
        refused = {b.name: b.refused_at for b in sharing._agent.balancer.recently_started(now)}
        for name, since in sharing.uptimes.since(sharing._began, refused).items():
            maxima["stood"] = max(
                maxima["stood"], 1.0 if since >= earliest_up_since(sharing._began, refused[name]) else 2.0
            )
        incarnation = sharing._self()[0]
        for cell, count in sharing.counts._own.items():
            self.reported_counts.setdefault((cell, agent, incarnation), []).append((now, count))
        maxima["heard"] += len(sharing.counts) > 3
        if maxima["looks"] % 16 == 0:
            for cell, rate in enumerate(sharing.counts.rates(now)):
                histories = [
                    reports[-120:] for key, reports in self.reported_counts.items() if key[0] == cell
                ]
                # Each by its own clock, over all retained reports: a longer time than the bound covers.
                bound = sum(counts.rate_bound(reports[-1][0], [reports], 1e9) for reports in histories)
                if rate > 0:
                    maxima["counts"] = max(
                        maxima["counts"], rate / (bound * CLOCK_DRIFT_FACTOR) if bound else 2.0
                    )


@contextmanager
def watch_bounds(agents: int, wants: Callable[[Sharing], float] | None = None) -> Iterator[BoundsMonitor]:
    """Monitors all agents that are simulated in this process within the block.

    `wants` replaces the number of trials per second that an agent asks for.
    """
    monitor, original_look, original_wants = BoundsMonitor(agents), Sharing.look, Sharing._wants

    def look(sharing: Sharing) -> None:
        original_look(sharing)
        monitor.look(sharing)

    Sharing.update, Sharing._wants = look, wants or original_wants  # type: ignore[method-assign]
    try:
        yield monitor
    finally:
        Sharing.update, Sharing._wants = original_look, original_wants  # type: ignore[method-assign]
