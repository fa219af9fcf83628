"""Planted faults: agents that break a rule on purpose, to show that the checker reports each by its name."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import Any
from zlib import crc32

from lupinreach.balance import Backend, Balancer, Call
from lupinreach.model import Idempotency, Listing, ListState, NewCall, Port, Settings, UpdateKind

RESEND_EVERY_CALLS = 10_000  # calls per resent call of the fault `rare-resend`
SLEEP_THRESHOLD_MS = 1000.0  # time without input after which the agent counts as having been suspended
LATE_ANSWER_MS = 150.0  # delay past the client timeout; longer than the slack that the checker allows
Tamper = Callable[[Any, bytes], bytes]


class UnguardedCall(Call):
    """Resends calls to any backend, even if an earlier attempt may have been executed."""

    __slots__ = ()

    def may_send(self, now: float) -> bool:
        to = self._to
        return (
            not self.done and now < self.until and len(self.attempts) < to.max_attempts and not self.pending
        )


class ExpiredDedupCall(Call):
    """Relies on deduplication by the backends without regard to the deduplication window."""

    __slots__ = ()

    def may_send(self, now: float) -> bool:
        if self.terms.kind is not Idempotency.DEDUPLICATED:
            return Call.may_send(self, now)
        return (
            not self.done
            and now < self.until
            and len(self.attempts) < self._to.max_attempts
            and not self.pending
        )


class ResendsNonIdempotent(Balancer):
    """Resends a non-idempotent call after a connection reset."""

    def submit(self, now: float, incoming: NewCall) -> Call:
        call = super().submit(now, incoming)
        if call.terms.kind is Idempotency.NON_IDEMPOTENT:
            call.__class__ = UnguardedCall
        return call


class ResendsRarely(Balancer):
    """Resends one call in ten thousand, and makes further attempts without a retry budget."""

    def submit(self, now: float, incoming: NewCall) -> Call:
        call = super().submit(now, incoming)
        self._calls_seen = (
            getattr(self, "_calls_seen", crc32(str(self._seed).encode()) % RESEND_EVERY_CALLS) + 1
        )
        if self._calls_seen % RESEND_EVERY_CALLS == 0:
            call.__class__ = UnguardedCall
        return call

    def spend_budget(self) -> bool:
        return True


class RepeatsAfterDedupWindow(Balancer):
    """Repeats a deduplicated call after the deduplication window has passed."""

    def submit(self, now: float, incoming: NewCall) -> Call:
        call = super().submit(now, incoming)
        call.__class__ = ExpiredDedupCall
        return call

    def spend_budget(self) -> bool:
        return True


class IgnoresDrains(Balancer):
    """Treats draining backends as ready."""

    def update_backends(self, now: float, update_kind: UpdateKind, entries: list[Listing]) -> None:
        ready = [replace(e, state=ListState.READY) if e.state is ListState.DRAINING else e for e in entries]
        super().update_backends(now, update_kind, ready)


class FloodsColdBackends(Balancer):
    """Sends every call to the backend that started last."""

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        usable = [b for b in self._ready if call.may_use(b)]
        return max(usable, key=lambda b: b.boot_time) if usable else None


class TrustsOldListAfterSleep(Balancer):
    """Keeps its old backend list after a suspension, so that backends draining since then still count as ready."""

    def submit(self, now: float, incoming: NewCall) -> Call:
        self._was_asleep = (
            getattr(self, "_was_asleep", False)
            or now - getattr(self, "_last_input_at", now) > SLEEP_THRESHOLD_MS
        )
        self._last_input_at = now
        return super().submit(now, incoming)

    def update_backends(self, now: float, update_kind: UpdateKind, entries: list[Listing]) -> None:
        self._was_asleep = (
            getattr(self, "_was_asleep", False)
            or now - getattr(self, "_last_input_at", now) > SLEEP_THRESHOLD_MS
        )
        if self._was_asleep:
            entries = [
                replace(e, state=ListState.READY) if e.state is ListState.DRAINING else e for e in entries
            ]
        super().update_backends(now, update_kind, entries)


class ResetsColdBudget(Balancer):
    """Starts each incarnation with the full budget for cold backends, regardless of what was spent before."""

    def start(self, now: float) -> None:
        self._restarted_at = now
        super().start(now)

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        cold = [b for b in self._ready if call.may_use(b) and self._is_cold(now, b)]
        return (
            cold[0]
            if cold and now < self._restarted_at + self._cold_ms
            else super()._choose_backend(now, call)
        )


class _DelayedRefusalPort:
    """A port that delays rejections and errors until `margin_ms` before the client timeout (after it if negative)."""

    def __init__(self, port: Port, margin_ms: float) -> None:
        self._port = port
        self._margin_ms = margin_ms

    def __getattr__(self, name: str) -> Any:
        return getattr(self._port, name)

    def rate_limit(self, token: Hashable, retry_after: float) -> None:
        self._delay(token, self._port.rate_limit, token, retry_after)

    def error(self, token: Hashable) -> None:
        self._delay(token, self._port.error, token)

    def _delay(self, token: Hashable, action: Callable[..., None], *args: Any) -> None:
        until = token.new_call.until if hasattr(token, "new_call") else 0.0
        asyncio.get_running_loop().call_at(self._port._clock.on_loop(until - self._margin_ms), action, *args)  # type: ignore[attr-defined]


def _hold_until_deadline(settings: Settings, seed: int, port: Port) -> Balancer:
    return Balancer(settings, seed, _DelayedRefusalPort(port, 1.0))  # type: ignore[arg-type]


def _answer_too_late(settings: Settings, seed: int, port: Port) -> Balancer:
    return Balancer(settings, seed, _DelayedRefusalPort(port, -LATE_ANSWER_MS))  # type: ignore[arg-type]


# Tampering with what an agent writes to its clients; `sock.address` is None on connections that clients opened.


def _duplicate_answer(sock: Any, data: bytes) -> bytes:
    return data + data if sock.address is None and crc32(data) % 50 == 0 else data


def _drop_answer(sock: Any, data: bytes) -> bytes:
    return b"" if sock.address is None and crc32(data) % 50 == 0 else data


def _swap_answers() -> Tamper:
    last_answer: dict[int, bytes] = {}

    def tamper(sock: Any, data: bytes) -> bytes:
        if sock.address is not None or b" 200 " not in data[:16] or b"ran:" not in data:
            return data
        previous = last_answer.get(sock.owner, data)
        last_answer[sock.owner] = data
        return previous if crc32(data) % 50 == 0 else data

    return tamper


@dataclass(frozen=True)
class Fault:
    """One planted fault: how it is made, and the name of the violation that the checker has to report."""

    caught_as: str
    make_balancer: Callable[[Settings, int, Port], Balancer] | None = None
    tamper: Callable[[], Tamper] | None = None


FAULTS: dict[str, Fault] = {
    "answers-twice": Fault("answered twice", tamper=lambda: _duplicate_answer),
    "drops-answer": Fault("no answer", tamper=lambda: _drop_answer),
    "resends-payment": Fault("effect twice", ResendsNonIdempotent),
    "repeats-past-memory": Fault("effect twice past the memory", RepeatsAfterDedupWindow),
    "sends-to-draining": Fault("sent to draining", IgnoresDrains),
    "floods-cold": Fault("cold pushed over", FloodsColdBackends),
    "holds-until-deadline": Fault("held", _hold_until_deadline),
    "mixes-up-answers": Fault("another call's answer", tamper=_swap_answers),
    "rare-resend": Fault("effect twice", ResendsRarely),
    "answers-too-late": Fault("held", _answer_too_late),
    "wakes-believing": Fault("sent to draining", TrustsOldListAfterSleep),
    "spends-anew": Fault("cold pushed over", ResetsColdBudget),
}
