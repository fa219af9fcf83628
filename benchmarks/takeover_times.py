"""Simulated seconds from a store's loss to the next confirmed order, and until another loss is tolerated.

Another loss is tolerated once a newer view serves with all its replicas: each is complete, and the voters
of the view tolerate the loss.

    python benchmarks/takeover_times.py [HISTORIES]
"""

from __future__ import annotations

import sys
from statistics import quantiles

from lupinreach.mesh.model.histories import History, SimulatedStore, SimulationParameters
from lupinreach.mesh.model.invariants import InvariantChecker

END_S = 40.0  # reported for a time that was not reached in the history
ORDER_INTERVAL_S = 0.05
FAULT_DURATION_S = 100.0
FAULT_KINDS = ("crash", "wipe", "freeze", "cut", "one way", "full")


class SingleLossHistory(History):
    """A history with one loss of a store, and an order every `ORDER_INTERVAL_S`."""

    def __init__(self, seed: int, plan: SimulationParameters, kind: str, of_primary: bool) -> None:
        super().__init__(seed, plan)
        self.kind, self.of_primary = kind, of_primary
        self.lost_at = 0.0  # s; 0 before the loss
        self.confirmed_after: float | None = None  # s after the loss
        self.safe_after: float | None = None

    def _send_operator_request(self) -> None:
        self.schedule(ORDER_INTERVAL_S, self._send_operator_request)
        before = self.checker.highest_confirmed
        for store in self.stores.values():
            if store.running_replica is not None and store.running_replica.serving:
                self.last_version_sent += 1
                self._submit_version(store, self.last_version_sent, "a")
        self._record_times(before)

    def _record_times(self, before: int) -> None:
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
        identity = view.copies[0 if self.of_primary else 1]
        store = next(s for s in self.stores.values() if s.replica and s.replica.identity == identity)
        self.lost_at = self.now
        self.version_at_loss = self.checker.highest_confirmed
        self.epoch_at_loss = view.epoch
        self._apply_fault(store, self.kind, FAULT_DURATION_S)

    def _check_final_state(self) -> None:
        pass


def measure(kind: str, of_primary: bool, count: int) -> list[tuple[float, float]]:
    """Seconds until the next confirmed order and until another loss is tolerated, for each history."""
    measured = []
    for seed in range(count):
        history = SingleLossHistory(seed, SimulationParameters(), kind, of_primary)
        history.checker = InvariantChecker()
        history.run()
        measured.append((history.confirmed_after or END_S, history.safe_after or END_S))
    return measured


def main() -> None:
    """Prints p50 and p99 for each kind of loss."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    print("loss      of       confirmed p50   p99   safe p50   p99")
    for kind in FAULT_KINDS:
        for of_primary in (True, False):
            measured = measure(kind, of_primary, count)
            percentiles = [quantiles(times, n=100) for times in zip(*measured, strict=True)]
            role = "primary" if of_primary else "backup"
            columns = "  ".join(f"{cut[49]:5.2f} {cut[98]:5.2f}" for cut in percentiles)
            print(f"{kind:9} {role:8} {columns}")


if __name__ == "__main__":
    main()
