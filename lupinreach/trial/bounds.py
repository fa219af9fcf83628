"""The bounds of what agents share, beside what they reach: at every look of every agent of a run in virtual time.

Each figure is the most that was seen over the bound's own formula (`grants.most`, `evidence.harm`, `counts.most`, `warmth.earliest`), so that over 1 is
past it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from lupinreach.fleet import counts, grants
from lupinreach.fleet.evidence import MOST, SHARE, harm
from lupinreach.fleet.warmth import earliest
from lupinreach.ops.sharing import Sharing

EXACT = 1 + 1e-6
DRIFTS = 1.02  # clocks that run apart: a rate by another's clock
CHECKED_BOUNDS = "trials", "dearer", "counts", "stood"


class BoundsMonitor:
    """Stands beside every agent's look, with the whole fleet in sight."""

    @property
    def passed(self) -> list[str]:
        """The bounds that were."""
        return [name for name in CHECKED_BOUNDS if self.maxima[name] > 1]

    def __init__(self, agents: int) -> None:
        self.agents = agents
        self.parts: dict[int, Sharing] = {}  # the newest life of each
        self.counted: dict[
            tuple[int, int, int], list[tuple[float, int]]
        ] = {}  # by cell, agent and life, by its own clock
        self.maxima = {
            "trials": 0.0,
            "dearer": 0.0,
            "counts": 0.0,
            "stood": 0.0,
            "lent": 0,
            "heard": 0,
            "looks": 0,
        }

    def look(self, part: Sharing) -> None:
        n, now = part.evidence.me, part._agent.clock.now()
        self.parts[n], most = part, self.maxima
        most["looks"] += 1
        uses = [p.trials.usable(p._agent.clock.now()) for p in self.parts.values() if p.trials is not None]
        if part.trials is not None:
            # By the longest list that any of them has: who hears of fewer backends has a smaller part.
            total = self.agents * max(p.trials.own for p in self.parts.values() if p.trials is not None)
            most["trials"] = max(most["trials"], sum(uses) / grants.most(total, self.agents) / EXACT)
            most["lent"] += part.trials.out[0]
        factors = [b.cost_factor for b, _ in part._agent.balancer.relative_latencies()]
        if factors:
            moved = sum(1 - 1 / f for f in factors) / len(factors)
            most["dearer"] = max(
                most["dearer"],
                moved / harm() / EXACT,
                max(factors) / MOST / EXACT,
                sum(f > 1 for f in factors) / len(factors) / SHARE / EXACT,
            )
        refused = {b.name: b.refused_at for b in part._agent.balancer.recently_started(now)}
        for name, since in part.warmth.since(part._began, refused).items():
            most["stood"] = max(most["stood"], 1.0 if since >= earliest(part._began, refused[name]) else 2.0)
        life = part._self()[0]
        for cell, count in part.counts._own.items():
            self.counted.setdefault((cell, n, life), []).append((now, count))
        most["heard"] += len(part.counts) > 3
        if most["looks"] % 16 == 0:
            for cell, rate in enumerate(part.counts.rates(now)):
                of = [points[-120:] for key, points in self.counted.items() if key[0] == cell]
                # Each by its own clock, and all that is kept of it: longer than what the bound reaches.
                bound = sum(counts.most(points[-1][0], [points], 1e9) for points in of)
                if rate > 0:
                    most["counts"] = max(most["counts"], rate / (bound * DRIFTS) if bound else 2.0)


@contextmanager
def watch_bounds(agents: int, wants: Callable[[Sharing], float] | None = None) -> Iterator[BoundsMonitor]:
    """Every look of every agent that is played meanwhile, in this process; `wants`: trials a s in place of what they'd want."""
    watch, plain_look, plain_wants = BoundsMonitor(agents), Sharing.look, Sharing._wants

    def look(part: Sharing) -> None:
        plain_look(part)
        watch.look(part)

    Sharing.look, Sharing._wants = look, wants or plain_wants  # type: ignore[method-assign]
    try:
        yield watch
    finally:
        Sharing.look, Sharing._wants = plain_look, plain_wants  # type: ignore[method-assign]
