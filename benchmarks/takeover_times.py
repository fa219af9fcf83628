"""Simulated seconds from the loss of a store to the next confirmed order, and until the next loss may come.

The next loss may come once a newer view serves with all its copies: each is complete, and its voters bear it.
Run: python benchmarks/takeover_times.py [histories]
"""

from __future__ import annotations

import sys
from statistics import quantiles

from lupinreach.mesh.model.histories import History, SimulatedStore, SimulationParameters
from lupinreach.mesh.model.invariants import InvariantChecker

END_S = 40.0
ORDER_EVERY_S = 0.05
AWAY_S = 100.0
KINDS = ("crash", "wipe", "freeze", "cut", "one way", "full")


class OneLoss(History):
    """A history with one loss and an operator who never rests."""

    def __init__(self, seed: int, plan: SimulationParameters, kind: str, of_primary: bool) -> None:
        super().__init__(seed, plan)
        self.kind, self.of_primary = kind, of_primary
        self.lost_at = 0.0
        self.confirmed_after: float | None = None
        self.safe_after: float | None = None

    def _send_operator_request(self) -> None:
        self.schedule(ORDER_EVERY_S, self._send_operator_request)
        before = self.checker.highest_confirmed
        for store in self.stores.values():
            if store.running_replica is not None and store.running_replica.serving:
                self.last_version_sent += 1
                self._submit_version(store, self.last_version_sent, "a")
        self._look(before)

    def _look(self, before: int) -> None:
        if not self.lost_at:
            return
        if self.confirmed_after is None and self.checker.highest_confirmed > self.version_at_loss + 1:
            self.confirmed_after = self.now - self.lost_at
        if self.safe_after is None and any(self._serves_later_view(store) for store in self.stores.values()):
            self.safe_after = self.now - self.lost_at

    def _serves_later_view(self, store: SimulatedStore) -> bool:
        replica = store.running_replica
        return replica is not None and replica.serving and replica.view.epoch > self.epoch_at_loss

    def _inject_fault(self) -> None:
        serving = next(s for s in self.stores.values() if s.replica is not None and s.replica.serving)
        assert serving.replica is not None
        view = serving.replica.view
        wanted = view.copies[0 if self.of_primary else 1]
        store = next(s for s in self.stores.values() if s.replica and s.replica.identity == wanted)
        self.lost_at = self.now
        self.version_at_loss = self.checker.highest_confirmed
        self.epoch_at_loss = view.epoch
        self._apply_fault(store, self.kind, AWAY_S)

    def _check_final_state(self) -> None:
        pass


def measure(kind: str, of_primary: bool, count: int) -> list[tuple[float, float]]:
    """Both times of each history."""
    found = []
    for seed in range(count):
        history = OneLoss(seed, SimulationParameters(), kind, of_primary)
        history.checker = InvariantChecker()
        history.run()
        found.append((history.confirmed_after or END_S, history.safe_after or END_S))
    return found


def main() -> None:
    """Print p50 and p99 for each kind of loss."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    print("loss      of       confirmed p50   p99   safe p50   p99")
    for kind in KINDS:
        for of_primary in (True, False):
            found = measure(kind, of_primary, count)
            cuts = [quantiles(times, n=100) for times in zip(*found, strict=True)]
            who = "primary" if of_primary else "backup"
            told = "  ".join(f"{cut[49]:5.2f} {cut[98]:5.2f}" for cut in cuts)
            print(f"{kind:9} {who:8} {told}")


if __name__ == "__main__":
    main()
