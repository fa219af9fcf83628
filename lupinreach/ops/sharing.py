"""Shared state of a fleet's agents, over sockets: observations, request counts, uptimes and trials.

The pure modules of `fleet` make and bound the decisions; this module sends and receives their rows and hands
the results to the balancer. It is only loaded with `fleet.share_ms`. Its cost: at most two datagrams of 256
bytes every `share_ms`, in a fleet of any size, and a request and an answer when trials run short.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from lupinreach.balance import EJECTION_SLOS
from lupinreach.config import FleetConfig
from lupinreach.fleet import wire
from lupinreach.fleet.counts import Counts
from lupinreach.fleet.grants import LEASE_HEARTBEATS, Budget
from lupinreach.fleet.membership import Members
from lupinreach.fleet.observations import Observation, Observations, boot_hash
from lupinreach.fleet.uptimes import Uptimes
from lupinreach.fleet.wire import Message
from lupinreach.model import SharedEstimates
from lupinreach.net.agent import Agent

JITTER = 0.2  # of the sharing interval
WINDOW_INTERVALS = 5.0  # sharing intervals over which customers' rates are measured
AGEING_INTERVALS, ALONE_INTERVALS = (
    4.0,
    16.0,
)  # sharing intervals without an update after which the shared state is ageing, and the agent alone
OVER_SHARE_FACTOR = 1.5  # x its fraction of all calls: above it a customer is over its share
HEALTHY_RELATIVE_LATENCY = 1.0  # x SLO: below it others have found a backend healthy
TRIALS_BUDGET = 0  # number of the trials budget in datagrams
# Trials of a backend per ejection period, over the fleet; with one, 40 agents that had all received nothing
# recovered later.
TRIALS_PER_BACKEND = 2.0


class Freshness(Enum):
    """How recent the reports of others are."""

    FRESH = "fresh"
    AGEING = "ageing"
    ALONE = "alone"


class Sharing:
    """One agent's shared state.

    Its tables are those of `Observations`, `Counts`, `Uptimes` and `Budget`, each bounded there.
    """

    def __init__(
        self,
        agent: Agent,
        config: FleetConfig,
        members: Members,
        me: Callable[[], tuple[int, bool]],
        send: Callable[[int, int, dict[str, object]], None],
        draw: Callable[[], float],
    ) -> None:
        """`me` returns this agent's incarnation number and whether a newer process has replaced it.

        `send` takes a peer, a kind and fields.
        """
        settings = agent.config.settings
        now = agent.clock.now()
        self._agent = agent
        self._config = config
        self._members = members
        self._self = me
        self._send = send
        self._draw = draw
        slo = max(p.slo for p in settings.products) or settings.longest_wait / 2
        self.observations = Observations(settings.me, settings.zone, slo, draw)
        self.counts = Counts(settings.me, len(settings.customers), WINDOW_INTERVALS * config.share, draw)
        self.uptimes = Uptimes(settings.me, settings.rules.cold, draw)
        self._fractions = [c.fraction for c in settings.customers]
        self._ejection_ms = EJECTION_SLOS * slo
        self._backends = 0
        # From the first backend list on, whose length sets the fleet's budget.
        self.trials: Budget | None = None
        self._lease_ms = LEASE_HEARTBEATS * config.beat
        self._began = self._last_update = now
        self._queries_sent = 0  # of this incarnation
        self.stage = Freshness.FRESH
        if settings.customers:
            agent.serving.on_call_accepted = self.counts.record_call

    # Datagrams.

    def on_message(self, m: Message) -> None:
        """Handles an UPDATE, BORROW or GRANT."""
        now = self._agent.clock.now()
        if m.kind == wire.UPDATE:
            self._last_update = now
            self.observations.receive(now, m.mets)
            self.counts.receive(now, m.counts)
            self.uptimes.receive(now, m.stood)
        elif self.trials is not None and m.budget == TRIALS_BUDGET:
            own = self.trials.own
            if m.kind == wire.BORROW:
                spare = self.trials.usable(now) - self._wants()
                amount = self.trials.grant(
                    now, m.sender, m.incarnation.number, m.nonce, m.amount / 1000 * own, spare
                )
                if amount:
                    self._send(
                        m.sender,
                        wire.GRANT,
                        {"nonce": m.nonce, "budget": TRIALS_BUDGET, "amount": int(1000 * amount / own)},
                    )
            elif self.trials.granted(now, m.nonce, m.amount / 1000 * own):
                self._agent.counters.others["shared: trials borrowed"] += 1

    # Estimates for the balancer.

    def _wants(self) -> float:
        """Trials per s that this agent could use: one per ejected backend and ejection period."""
        held = sum(any(b.ejected_until) for b, _ in self._agent.balancer.relative_latencies())
        return 1000 * held / self._ejection_ms

    def update(self) -> None:
        """Adds this agent's own rows and gives the balancer the estimates, once per sharing interval."""
        now, balancer = self._agent.clock.now(), self._agent.balancer
        silent = now - self._last_update
        self.stage = (
            Freshness.FRESH
            if silent <= AGEING_INTERVALS * self._config.share
            else Freshness.AGEING
            if silent <= ALONE_INTERVALS * self._config.share
            else Freshness.ALONE
        )
        backend_latencies = balancer.relative_latencies()
        known = {(b.name, boot_hash(b.boot_time)): (b, latency) for b, latency in backend_latencies}
        self.observations.record_own(
            now,
            [
                Observation(
                    self.observations.me, self.observations.zone, name, boot, latency, now - b.observed_at
                )
                for (name, boot), (b, latency) in known.items()
                if b.latency_ms[0] is not None
            ],
        )
        self.observations.expire(now, known)
        self.counts.refresh(now, self._self()[0], now - self._began)
        self._resize_budget(now, len(backend_latencies))
        recently_started = {b.name: b for b in balancer.recently_started(now)}
        self.uptimes.record_own(
            now, {name: (b.up_since, b.observed_at) for name, b in recently_started.items() if b.up_since}
        )
        self.uptimes.expire(now, recently_started)
        own = {key: (latency, b.observed_at) for key, (b, latency) in known.items()}
        cost_factors = {
            name: factor for (name, _), factor in self.observations.cost_factors(now, own).items()
        }
        due = frozenset(
            name
            for (name, boot), (latency, _) in self.observations.estimates(now, own).items()
            if latency < HEALTHY_RELATIVE_LATENCY and any(known[name, boot][0].ejected_until)
        )
        balancer.apply_shared(
            now,
            SharedEstimates(
                cost_factors,
                due,
                self._over_share(now),
                None if self.trials is None else self.trials.usable(now) / 1000,
                self.uptimes.since(self._began, {name: b.refused_at for name, b in recently_started.items()}),
            ),
        )

    def _resize_budget(self, now: float, backends: int) -> None:
        """Replaces the trials budget when the backend list has grown."""
        if backends > self._backends:
            # Only grows: agents with different lists would otherwise have different budgets.
            self._backends = backends
            total = TRIALS_PER_BACKEND * backends * 1000 / self._ejection_ms
            self.trials = Budget(now, total, self._agent.config.settings.agents, self._lease_ms)

    def _over_share(self, now: float) -> frozenset[int] | None:
        """Customers over their share of the fleet's calls; None if too little is received to tell."""
        if not self._fractions or self.stage is Freshness.ALONE:
            return None
        rates = self.counts.rates(now)
        total = sum(rates)
        if total <= 0:
            return None
        return frozenset(
            i
            for i, (rate, part) in enumerate(zip(rates, self._fractions, strict=True))
            if rate > OVER_SHARE_FACTOR * part * total
        )

    def metrics(self) -> dict[str, object]:
        """The `shared` object of the reported metrics."""
        now = self._agent.clock.now()
        backend_latencies = self._agent.balancer.relative_latencies()
        return {
            "stage": self.stage.value,
            "rows": len(self.observations),
            "counts": len(self.counts),
            "stood": len(self.uptimes),
            "refused": self.observations.rejected + self.counts.rejected + self.uptimes.rejected,
            "dearer": {
                str(b.name): round(b.cost_factor, 2) for b, _ in backend_latencies if b.cost_factor > 1
            },
            "customers_per_s": [round(rate, 2) for rate in self.counts.rates(now)],
            "over": sorted(self._over_share(now) or ()),
            "trials_per_s": None if self.trials is None else round(self.trials.usable(now), 4),
            "leases": None if self.trials is None else self.trials.lease_counts,
        }

    # The sharing loop.

    async def run(self) -> None:
        """Sends updates and requests for trials, once per sharing interval."""
        reported_stage = Freshness.FRESH
        while True:
            await asyncio.sleep(self._config.share * (1 + JITTER * (self._draw() - 0.5)) / 1000)
            self.update()
            if self.stage is not reported_stage:
                reported_stage = self.stage
                self._agent.log.event("shared", stage=reported_stage.value)
            if self._self()[1]:
                continue  # a newer process of this agent sends instead
            now = self._agent.clock.now()
            for peer in self._members.draw_targets():
                self._send(peer, wire.UPDATE, self._update(now))
            if self.trials is not None and self._wants() > self.trials.usable(now):
                self._queries_sent += 1
                # Guards against a late answer to a request of the previous incarnation, which would outlast
                # its owner's lease.
                number = (self._self()[0] & 0xFFFF) << 16 | self._queries_sent & 0xFFFF
                self.trials.ask(now, number)
                self._send(
                    self._members.draw_targets()[0],
                    wire.BORROW,
                    {"nonce": number, "budget": TRIALS_BUDGET, "amount": 1000},
                )

    def _update(self, now: float) -> dict[str, object]:
        """The rows of one datagram: up to half of it uptimes, the rest half counts, half observations."""
        stood = self.uptimes.digest(now, wire.UPDATE_ROW_BYTES // 2 // wire.UPTIME_ROW.size)
        room = wire.UPDATE_ROW_BYTES - len(stood) * wire.UPTIME_ROW.size
        counts = min(len(self.counts), room // 2 // wire.COUNT_ROW.size)
        mets = self.observations.digest(
            now, (room - counts * wire.COUNT_ROW.size) // wire.OBSERVATION_ROW.size
        )
        left = room - len(mets) * wire.OBSERVATION_ROW.size
        return {"stood": stood, "mets": mets, "counts": self.counts.digest(now, left // wire.COUNT_ROW.size)}
