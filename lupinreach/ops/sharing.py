"""What agents of one fleet share, on sockets: evidence on backends, counts of customers, and the fleet's trials.

The pure modules of `fleet` decide and bound; here rows go out and come in, and the module is handed what follows. Without
`fleet.share_ms` none of it is loaded. What it costs: two datagrams of 256 bytes at most every `share_ms`, in any fleet,
and a question and an answer where trials are short.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from lupinreach.balance import EJECTION_SLOS
from lupinreach.config import FleetConfig
from lupinreach.fleet import wire
from lupinreach.fleet.counts import Counts
from lupinreach.fleet.evidence import Evidence, Met, boot_mark
from lupinreach.fleet.grants import LEASE, Budget
from lupinreach.fleet.membership import Members
from lupinreach.fleet.warmth import Warmth
from lupinreach.fleet.wire import Message
from lupinreach.model import SharedEstimates
from lupinreach.net.agent import Agent

JITTER = 0.2  # of the time between two words
WINDOW = 5.0  # x the time between two words: over which rates of customers are taken
AGEING, ALONE = (
    4.0,
    16.0,
)  # x the time between two words without any: what is shared is ageing, then the agent is alone
OVER = 1.5  # x its fraction of all that is asked: from there on a customer is over its share
WELL = 1.0  # x SLO: below it others have met a backend well
TRIALS = 0  # the number of the budget
EACH = 2.0  # trials of each backend in a hold, over the fleet: with one, 40 agents that had all been deaf came back later


class Silence(Enum):
    """How far what others say can still be gone by."""

    FRESH = "fresh"
    AGEING = "ageing"
    ALONE = "alone"


class Sharing:
    """One agent's part. Its tables are those of `Evidence`, `Counts` and `Budget`, each bounded there."""

    def __init__(
        self,
        agent: Agent,
        config: FleetConfig,
        members: Members,
        me: Callable[[], tuple[int, bool]],
        send: Callable[[int, int, dict[str, object]], None],
        chance: Callable[[], float],
    ) -> None:
        """`me` gives this agent's life and if a newer one has taken its place; `send` a peer, a kind and what is said."""
        settings = agent.config.settings
        now = agent.clock.now()
        self._agent = agent
        self._config = config
        self._members = members
        self._self = me
        self._send = send
        self._chance = chance
        slo = max(p.slo for p in settings.products) or settings.longest_wait / 2
        self.evidence = Evidence(settings.me, settings.zone, slo, chance)
        self.counts = Counts(settings.me, len(settings.customers), WINDOW * config.share, chance)
        self.warmth = Warmth(settings.me, settings.rules.cold, chance)
        self._fractions = [c.fraction for c in settings.customers]
        self._hold = EJECTION_SLOS * slo
        self._backends = 0
        self.trials: Budget | None = None  # from the first list on, by whose length the fleet's trials go
        self._lease = LEASE * config.beat
        self._began = self._heard_at = now
        self._count = 0  # questions of this life
        self.stage = Silence.FRESH
        if settings.customers:
            agent.serving.on_call_accepted = self.counts.took

    # Datagrams.

    def hear(self, m: Message) -> None:
        now = self._agent.clock.now()
        if m.kind == wire.NEWS:
            self._heard_at = now
            self.evidence.heard(now, m.mets)
            self.counts.heard(now, m.counts)
            self.warmth.heard(now, m.stood)
        elif self.trials is not None and m.budget == TRIALS:
            own = self.trials.own
            if m.kind == wire.WANT:
                spare = self.trials.usable(now) - self._wants()
                amount = self.trials.grant(
                    now, m.sender, m.life.number, m.nonce, m.amount / 1000 * own, spare
                )
                if amount:
                    self._send(
                        m.sender,
                        wire.GRANT,
                        {"nonce": m.nonce, "budget": TRIALS, "amount": int(1000 * amount / own)},
                    )
            elif self.trials.granted(now, m.nonce, m.amount / 1000 * own):
                self._agent.counters.others["shared: trials borrowed"] += 1

    # What is made of it.

    def _wants(self) -> float:
        """Trials a s that this agent could make use of: one for each backend that it holds back, each hold."""
        held = sum(any(b.ejected_until) for b, _ in self._agent.balancer.relative_latencies())
        return 1000 * held / self._hold

    def look(self) -> None:
        """Once between two words: take what is own, and hand the module what follows from all of it."""
        now, balancer = self._agent.clock.now(), self._agent.balancer
        silent = now - self._heard_at
        self.stage = (
            Silence.FRESH
            if silent <= AGEING * self._config.share
            else Silence.AGEING
            if silent <= ALONE * self._config.share
            else Silence.ALONE
        )
        met = balancer.relative_latencies()
        known = {(b.name, boot_mark(b.boot_time)): (b, figure) for b, figure in met}
        self.evidence.own(
            now,
            [
                Met(self.evidence.me, self.evidence.zone, name, boot, figure, now - b.observed_at)
                for (name, boot), (b, figure) in known.items()
                if b.latency_ms[0] is not None
            ],
        )
        self.evidence.look(now, known)
        self.counts.look(now, self._self()[0], now - self._began)
        self._budget(now, len(met))
        young = {b.name: b for b in balancer.recently_started(now)}
        self.warmth.own(now, {name: (b.up_since, b.observed_at) for name, b in young.items() if b.up_since})
        self.warmth.look(now, young)
        own = {key: (figure, b.observed_at) for key, (b, figure) in known.items()}
        dearer = {name: factor for (name, _), factor in self.evidence.factors(now, own).items()}
        due = frozenset(
            name
            for (name, boot), (figure, _) in self.evidence.said(now, own).items()
            if figure < WELL and any(known[name, boot][0].ejected_until)
        )
        balancer.apply_shared(
            now,
            SharedEstimates(
                dearer,
                due,
                self._over(now),
                None if self.trials is None else self.trials.usable(now) / 1000,
                self.warmth.since(self._began, {name: b.refused_at for name, b in young.items()}),
            ),
        )

    def _budget(self, now: float, backends: int) -> None:
        if backends > self._backends:
            # Guards against a share that moves with each list: agents with unlike lists would have unlike budgets.
            self._backends = backends
            total = EACH * backends * 1000 / self._hold
            self.trials = Budget(now, total, self._agent.config.settings.agents, self._lease)

    def _over(self, now: float) -> frozenset[int] | None:
        """Customers over their share of what the fleet is asked; None where too little is heard to tell."""
        if not self._fractions or self.stage is Silence.ALONE:
            return None
        rates = self.counts.rates(now)
        total = sum(rates)
        if total <= 0:
            return None
        return frozenset(
            i
            for i, (rate, part) in enumerate(zip(rates, self._fractions, strict=True))
            if rate > OVER * part * total
        )

    def figures(self) -> dict[str, object]:
        """What operators see."""
        now = self._agent.clock.now()
        met = self._agent.balancer.relative_latencies()
        return {
            "stage": self.stage.value,
            "rows": len(self.evidence),
            "counts": len(self.counts),
            "stood": len(self.warmth),
            "refused": self.evidence.refused + self.counts.refused + self.warmth.refused,
            "dearer": {str(b.name): round(b.cost_factor, 2) for b, _ in met if b.cost_factor > 1},
            "customers_per_s": [round(rate, 2) for rate in self.counts.rates(now)],
            "over": sorted(self._over(now) or ()),
            "trials_per_s": None if self.trials is None else round(self.trials.usable(now), 4),
            "leases": None if self.trials is None else self.trials.out,
        }

    # From start to end.

    async def run(self) -> None:
        said = Silence.FRESH
        while True:
            await asyncio.sleep(self._config.share * (1 + JITTER * (self._chance() - 0.5)) / 1000)
            self.look()
            if self.stage is not said:
                said = self.stage
                self._agent.log.event("shared", stage=said.value)
            if self._self()[1]:
                continue  # a newer process of this agent speaks for it
            now = self._agent.clock.now()
            for peer in self._members.targets():
                self._send(peer, wire.NEWS, self._news(now))
            if self.trials is not None and self._wants() > self.trials.usable(now):
                self._count += 1
                # Guards against a late answer to a question of the life before, which would pass its owner's lease.
                number = (self._self()[0] & 0xFFFF) << 16 | self._count & 0xFFFF
                self.trials.ask(now, number)
                self._send(
                    self._members.targets()[0], wire.WANT, {"nonce": number, "budget": TRIALS, "amount": 1000}
                )

    def _news(self, now: float) -> dict[str, object]:
        """As much as a datagram takes: half of it for who stands, where there is so much, half of the rest for each of the others."""
        stood = self.warmth.digest(now, wire.NEWS_ROOM // 2 // wire.STOOD_ROW.size)
        room = wire.NEWS_ROOM - len(stood) * wire.STOOD_ROW.size
        counts = min(len(self.counts), room // 2 // wire.COUNT_ROW.size)
        mets = self.evidence.digest(now, (room - counts * wire.COUNT_ROW.size) // wire.MET_ROW.size)
        left = room - len(mets) * wire.MET_ROW.size
        return {"stood": stood, "mets": mets, "counts": self.counts.digest(now, left // wire.COUNT_ROW.size)}
