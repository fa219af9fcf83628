"""Generated histories against the reference model of the rules: the module must agree with it."""

import random

import pytest
from helpers import DRAINING, READY, REMOVED, Bench, PlainAttempt, PlainCall, settings

from lupinreach.balance import Balancer, Call
from lupinreach.model import AttemptEnd, DedupScope, Idempotency, Listing, ListState, UpdateKind

KINDS = (
    (Idempotency.IDEMPOTENT, DedupScope.ALL),
    (Idempotency.NON_IDEMPOTENT, DedupScope.ALL),
    (Idempotency.DEDUPLICATED, DedupScope.ALL),
    (Idempotency.DEDUPLICATED, DedupScope.ZONE),
    (Idempotency.DEDUPLICATED, DedupScope.CELL),
)
FAILURES = [e for e in AttemptEnd if e not in (AttemptEnd.FULFILLED, AttemptEnd.CANCELLED)]


class History:
    """A random history; the reference model checks every action of the module as it is made."""

    def __init__(self, seed: int, hedging: bool, attempts: int, live: bool = False, agents: int = 1) -> None:
        """With `live`, updates are frequent and weights fall with load; many `agents` admit calls by them."""
        self.rng = random.Random(seed)
        self.live = live
        self.given = settings(
            KINDS,
            slo=600.0,
            memory=250.0,
            attempts=attempts,
            hedging=hedging,
            cold=3000.0,
            live_weights=live,
            agents=agents,
            warm_keys=live,
        )
        self.listings = {i: Listing(i, READY, zone=i % 2, cell=i % 3) for i in range(6)}
        self.bench = Bench(self.given, seed=seed, entries=list(self.listings.values()))
        self.plain: dict[int, PlainCall] = {}
        self.submitted = 0
        self.success_rate = (0.5, 0.95)[seed // 2 % 2]
        self.arrivals = (0.35, 0.6)[seed % 2]  # with the second, limits are reached and calls are queued
        self.violations: list[str] = []
        self.cancelled: list[tuple[int, int]] = []
        port = self.bench.port
        port.send, port.cancel = self.send, self.cancel
        port.rate_limit, port.error = self.rate_limit, self.error

    def send(self, token, backend, until):
        call, now = self.plain[token], self.bench.now
        why = call.violation_of_send(now, self.listings[backend], self.listings)
        if why:
            self.violations.append(f"{why} (call {token}, attempt {len(call.attempts)})")
        call.attempts.append(PlainAttempt(backend, now))

    def answered(self, token, what):
        why = self.plain[token].violation_of_answer(what)
        if why:
            self.violations.append(f"{why} (call {token})")
        self.plain[token].final.append(what)

    def rate_limit(self, token, retry_after):
        self.answered(token, "rate-limited")
        if retry_after <= 0:
            self.violations.append(f"no retry delay (call {token})")

    def error(self, token):
        self.answered(token, "errored")

    def cancel(self, token, number):
        assert number < len(self.plain[token].attempts)
        if self.plain[token].attempts[number].end is None:
            self.cancelled.append((token, number))

    def end_attempt(self, token, number, end):
        call, attempt = self.plain[token], self.plain[token].attempts[number]
        if attempt.end is not None:
            return
        if self.bench.now >= call.until and end is AttemptEnd.FULFILLED:
            end = AttemptEnd.TIMED_OUT
        attempt.end = end
        complete = bool(call.final) or end is AttemptEnd.FULFILLED
        if end is AttemptEnd.FULFILLED and not call.final:
            call.final.append("fulfilled")
        self.bench.calls[token].on_attempt_ended(
            self.bench.now, number, end, self.bench.now - attempt.at, complete
        )

    def compare(self):
        """Compare what both allow, whether or not the module would do it."""
        token, now = self.rng.choice(list(self.plain)), self.bench.now
        plain, call = self.plain[token], self.bench.calls[token]
        b = self.rng.choice(list(self.listings.values()))
        known = self.bench.agent._backends.get(b.backend)
        if known is not None:
            allowed = plain.violation_of_send(now, b, self.listings) is None
            module = call.may_send(now) and call.may_use(known)
            last_moment = not module and plain.violation_of_send(now + 1.0, b, self.listings) is not None
            if allowed != module and not last_moment:
                self.violations.append(f"module {module}, model {allowed} on an attempt (call {token})")
        if not plain.final and call.may_rate_limit() != (plain.violation_of_answer("rate-limited") is None):
            self.violations.append(f"the module and the model differ on a rate-limit reply (call {token})")

    def step(self):
        rng, bench = self.rng, self.bench
        if self.plain:
            self.compare()
        what = rng.random()
        if what < self.arrivals:
            token, product = self.submitted, rng.randrange(len(KINDS))
            self.submitted += 1
            left = rng.choice((60.0, 800.0, 2000.0))
            self.plain[token] = PlainCall(self.given.products[product], self.given.limits, bench.now + left)
            bench.calls[token] = None
            call = bench.submit(token, product, left, key=token % 3, is_retry=token % 4 == 0)
            for number in range(len(self.plain[token].attempts)):
                assert call.attempts[number].number == number
        elif what < 0.75:
            out = [(t, n) for t, c in self.plain.items() for n, s in enumerate(c.attempts) if s.end is None]
            if out:
                token, number = rng.choice(out)
                good = rng.random() < self.success_rate
                self.end_attempt(token, number, AttemptEnd.FULFILLED if good else rng.choice(FAILURES))
        elif what < 0.80:
            self.update_weights() if self.live and rng.random() < 0.7 else self.update_list()
        elif what < 0.82:
            alive = [t for t, c in self.plain.items() if not c.final]
            if alive:
                token = rng.choice(alive)
                self.plain[token].final.append("left")
                bench.calls[token].on_client_left(bench.now)
        else:
            self.pass_time(rng.choice((1.0, 10.0, 40.0, 300.0)))

    def pass_time(self, ms):
        bench, until = self.bench, self.bench.now + ms
        while bench.now < until:
            bench.move(min(5.0, until - bench.now))
            self.cancelled, off = [], self.cancelled
            for token, number in off:
                self.end_attempt(token, number, AttemptEnd.CANCELLED)
            for token, call in list(self.plain.items()):
                for number, attempt in enumerate(call.attempts):
                    if attempt.end is None and bench.now >= call.until:
                        self.end_attempt(token, number, AttemptEnd.TIMED_OUT)
                if bench.now > call.until + self.given.rules.answer_slack and not call.final:
                    self.violations.append(f"no final answer in time (call {token})")
                    call.final.append("lost")

    def update_weights(self):
        load = self.rng.choice((0.0, 1.0, 6.0))
        for b, old in self.listings.items():
            weight = 4.0 / (1 + load * self.rng.random() * 2)
            self.listings[b] = Listing(b, old.state, old.boot_time, weight, old.zone, old.cell, b)
        self.bench.list(UpdateKind.CHANGES, list(self.listings.values()))

    def update_list(self):
        b = self.rng.randrange(8)
        old = self.listings.get(b, Listing(b, REMOVED, zone=b % 2, cell=b % 3))
        state = self.rng.choice((READY, READY, DRAINING, REMOVED))
        boot = self.bench.now if state is READY and old.state is not READY else old.boot_time
        self.listings[b] = Listing(b, state, boot, 1.0, old.zone, old.cell)
        how = self.rng.random()
        if how < 0.6:
            self.bench.list(UpdateKind.CHANGES, [self.listings[b]])
        elif how < 0.8:  # after a gap: the full list, without the removed ones
            self.bench.list(
                UpdateKind.FULL, [x for x in self.listings.values() if x.state is not ListState.REMOVED]
            )
        else:
            self.listings[b] = old
            self.bench.list(UpdateKind.FAILED, [])


@pytest.mark.parametrize("hedging", [True, False])
@pytest.mark.parametrize("seed", range(12))
def test_module_agrees_with_reference_model(seed, hedging):
    agree(History(seed, hedging, attempts=2 + seed % 4))


@pytest.mark.parametrize("agents", [2, 100])
@pytest.mark.parametrize("seed", range(8))
def test_module_agrees_with_reference_model_where_weights_fall_with_load(seed, agents):
    agree(History(seed, hedging=seed % 2 == 0, attempts=2 + seed % 4, live=True, agents=agents))


@pytest.mark.parametrize("plant", ["draining", "twice", "silent refusal"])
def test_reference_model_detects_planted_fault(plant, monkeypatch):
    if plant == "draining":
        monkeypatch.setattr(Call, "may_use", lambda self, b: True)
        monkeypatch.setattr(
            Balancer, "_choose_backend", lambda self, now, call: next(iter(self._backends.values()), None)
        )
    elif plant == "twice":
        monkeypatch.setattr(Call, "may_send", lambda self, now: not self.done)
    else:
        refuse = Balancer.give_up

        def silent(self, now, call):
            self._max_retry_after = 0.0
            refuse(self, now, call)

        monkeypatch.setattr(Balancer, "give_up", silent)
    with pytest.raises(AssertionError):
        for seed in range(4):
            agree(History(seed, hedging=False, attempts=3, live=True, agents=100))


def agree(history):
    for _ in range(700):
        history.step()
        assert not history.violations
    history.pass_time(3000.0)
    assert not history.violations
    assert all(len(c.final) == 1 for c in history.plain.values())
    assert all(c.closed for c in history.bench.calls.values())
    assert (
        history.success_rate > 0.5
        or history.arrivals > 0.5
        or any(len(c.attempts) > 1 for c in history.plain.values())
    )


def test_restarted_agent_starts_with_nothing_and_behaves_alike():
    first, second = History(3, True, 4), History(3, True, 4)
    for _ in range(300):
        first.step()
    third = History(3, True, 4)
    for h in (second, third):
        for _ in range(200):
            h.step()
    assert [c.attempts for c in second.plain.values()] == [c.attempts for c in third.plain.values()]
