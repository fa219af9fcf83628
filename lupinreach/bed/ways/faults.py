"""Planted faults: agents that break a rule, so that the checker is seen to catch each by its name."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import Any
from zlib import crc32

from lupinreach.balance import Backend, Balancer, Call
from lupinreach.model import Idempotency, Listing, ListState, NewCall, Port, Settings, UpdateKind

RARE = 10_000
ASLEEP = 1000.0  # ms without any word of the world, after which an agent takes itself for one that slept
TOO_LATE = 150.0  # ms past the client timeout, more than the checker's slack
Tamper = Callable[[Any, bytes], bytes]


class Reckless(Call):
    """Sends again whatever may have run, to anybody."""

    __slots__ = ()

    def may_send(self, now: float) -> bool:
        to = self._to
        return (
            not self.done and now < self.until and len(self.attempts) < to.max_attempts and not self.pending
        )


class Forgetful(Call):
    """Knows that a repeat is dropped, and not for how long."""

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


class Resends(Balancer):
    """Resends a non-idempotent API call after a reset."""

    def submit(self, now: float, ask: NewCall) -> Call:
        call = super().submit(now, ask)
        if call.terms.kind is Idempotency.NON_IDEMPOTENT:
            call.__class__ = Reckless
        return call


class RareResends(Balancer):
    """The same, for one API call in ten thousand, and further shots without a budget."""

    def submit(self, now: float, ask: NewCall) -> Call:
        call = super().submit(now, ask)
        self._rare = getattr(self, "_rare", crc32(str(self._seed).encode()) % RARE) + 1
        if self._rare % RARE == 0:
            call.__class__ = Reckless
        return call

    def spend_budget(self) -> bool:
        return True


class RepeatsLate(Balancer):
    """Repeats a deduplicated API call past the mark's memory."""

    def submit(self, now: float, ask: NewCall) -> Call:
        call = super().submit(now, ask)
        call.__class__ = Forgetful
        return call

    def spend_budget(self) -> bool:
        return True


class IgnoresDrains(Balancer):
    """Takes a draining backend for a ready one."""

    def update_backends(self, now: float, news: UpdateKind, entries: list[Listing]) -> None:
        ready = [replace(e, state=ListState.READY) if e.state is ListState.DRAINING else e for e in entries]
        super().update_backends(now, news, ready)


class FloodsCold(Balancer):
    """Sends all it can to whichever backend started last."""

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        usable = [b for b in self._ready if call.may_use(b)]
        return max(usable, key=lambda b: b.boot_time) if usable else None


class WakesBelieving(Balancer):
    """Goes on by what it believed when it was put to sleep: what has begun to drain meanwhile stays ready for it."""

    def submit(self, now: float, ask: NewCall) -> Call:
        self._slept = getattr(self, "_slept", False) or now - getattr(self, "_last", now) > ASLEEP
        self._last = now
        return super().submit(now, ask)

    def update_backends(self, now: float, news: UpdateKind, entries: list[Listing]) -> None:
        self._slept = getattr(self, "_slept", False) or now - getattr(self, "_last", now) > ASLEEP
        if self._slept:
            entries = [
                replace(e, state=ListState.READY) if e.state is ListState.DRAINING else e for e in entries
            ]
        super().update_backends(now, news, entries)


class SpendsAnew(Balancer):
    """Begins each life with the whole budget for cold backends, whatever the life before has spent."""

    def start(self, now: float) -> None:
        self._stood = now
        super().start(now)

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        cold = [b for b in self._ready if call.may_use(b) and self._is_cold(now, b)]
        return cold[0] if cold and now < self._stood + self._cold_ms else super()._choose_backend(now, call)


class _Holding:
    """A port that keeps refusals back until so many ms before the client timeout, or after it."""

    def __init__(self, port: Port, before: float) -> None:
        self._port = port
        self._before = before

    def __getattr__(self, name: str) -> Any:
        return getattr(self._port, name)

    def rate_limit(self, token: Hashable, retry_after: float) -> None:
        self._later(token, self._port.rate_limit, token, retry_after)

    def error(self, token: Hashable) -> None:
        self._later(token, self._port.error, token)

    def _later(self, token: Hashable, what: Callable[..., None], *args: Any) -> None:
        until = token.ask.until if hasattr(token, "ask") else 0.0
        asyncio.get_running_loop().call_at(self._port._clock.on_loop(until - self._before), what, *args)  # type: ignore[attr-defined]


def _holds(settings: Settings, seed: int, port: Port) -> Balancer:
    return Balancer(settings, seed, _Holding(port, 1.0))  # type: ignore[arg-type]


def _too_late(settings: Settings, seed: int, port: Port) -> Balancer:
    return Balancer(settings, seed, _Holding(port, -TOO_LATE))  # type: ignore[arg-type]


# What an agent writes to its clients, seen on the way out. `sock.address` is None there.


def _twice(sock: Any, piece: bytes) -> bytes:
    return piece + piece if sock.address is None and crc32(piece) % 50 == 0 else piece


def _drops(sock: Any, piece: bytes) -> bytes:
    return b"" if sock.address is None and crc32(piece) % 50 == 0 else piece


def _mixes_up() -> Tamper:
    last: dict[int, bytes] = {}

    def tamper(sock: Any, piece: bytes) -> bytes:
        if sock.address is not None or b" 200 " not in piece[:16] or b"ran:" not in piece:
            return piece
        before = last.get(sock.owner, piece)
        last[sock.owner] = piece
        return before if crc32(piece) % 50 == 0 else piece

    return tamper


@dataclass(frozen=True)
class Fault:
    """One planted fault, and the name under which the checker has to catch it."""

    caught_as: str
    make_balancer: Callable[[Settings, int, Port], Balancer] | None = None
    tamper: Callable[[], Tamper] | None = None


FAULTS: dict[str, Fault] = {
    "answers-twice": Fault("answered twice", tamper=lambda: _twice),
    "drops-answer": Fault("no answer", tamper=lambda: _drops),
    "resends-payment": Fault("effect twice", Resends),
    "repeats-past-memory": Fault("effect twice past the memory", RepeatsLate),
    "sends-to-draining": Fault("sent to draining", IgnoresDrains),
    "floods-cold": Fault("cold pushed over", FloodsCold),
    "holds-until-deadline": Fault("held", _holds),
    "mixes-up-answers": Fault("another call's answer", tamper=_mixes_up),
    "rare-resend": Fault("effect twice", RareResends),
    "answers-too-late": Fault("held", _too_late),
    "wakes-believing": Fault("sent to draining", WakesBelieving),
    "spends-anew": Fault("cold pushed over", SpendsAnew),
}
