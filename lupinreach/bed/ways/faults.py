"""Planted faults: agents that break a rule, so that the checker is seen to catch each by its name."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import Any
from zlib import crc32

from lupinreach.balance import Backend, Balancer, Call
from lupinreach.bed.world.ground import EPOCH
from lupinreach.model import Ask, Kind, Listing, News, Port, Settings, State

RARE = 10_000
Tamper = Callable[[Any, bytes], bytes]


class Reckless(Call):
    """Sends again whatever may have run, to anybody."""

    __slots__ = ()

    def may_send(self, now: float) -> bool:
        to = self._to
        return not self.done and now < self.until and len(self.shots) < to.max_shots and not self.out


class Forgetful(Call):
    """Knows that a repeat is dropped, and not for how long."""

    __slots__ = ()

    def may_send(self, now: float) -> bool:
        if self.offer.kind is not Kind.DEDUPLICATED:
            return Call.may_send(self, now)
        return not self.done and now < self.until and len(self.shots) < self._to.max_shots and not self.out


class Resends(Balancer):
    """Resends a non-idempotent API call after a reset."""

    def take(self, now: float, ask: Ask) -> Call:
        call = super().take(now, ask)
        if call.offer.kind is Kind.NON_IDEMPOTENT:
            call.__class__ = Reckless
        return call


class RareResends(Balancer):
    """The same, for one API call in ten thousand, and further shots without a budget."""

    def take(self, now: float, ask: Ask) -> Call:
        call = super().take(now, ask)
        self._rare = getattr(self, "_rare", crc32(str(self._seed).encode()) % RARE) + 1
        if self._rare % RARE == 0:
            call.__class__ = Reckless
        return call

    def spend(self) -> bool:
        return True


class RepeatsLate(Balancer):
    """Repeats a deduplicated API call past the mark's memory."""

    def take(self, now: float, ask: Ask) -> Call:
        call = super().take(now, ask)
        call.__class__ = Forgetful
        return call

    def spend(self) -> bool:
        return True


class IgnoresDrains(Balancer):
    """Takes a draining backend for a ready one."""

    def listed(self, now: float, news: News, entries: list[Listing]) -> None:
        ready = [replace(e, state=State.READY) if e.state is State.DRAINING else e for e in entries]
        super().listed(now, news, ready)


class FloodsCold(Balancer):
    """Sends all it can to whichever backend started last."""

    def _choose(self, now: float, call: Call) -> Backend | None:
        usable = [b for b in self._ring if call.may_use(b)]
        return max(usable, key=lambda b: b.boot_time) if usable else None


class _Holding:
    """A port that keeps refusals back until just before the client timeout."""

    def __init__(self, port: Port) -> None:
        self._port = port
        self.until: dict[Hashable, float] = {}  # by token; emptied with the refusal

    def __getattr__(self, name: str) -> Any:
        return getattr(self._port, name)

    def rate_limit(self, token: Hashable, retry_after: float) -> None:
        self._later(token, self._port.rate_limit, token, retry_after)

    def error(self, token: Hashable) -> None:
        self._later(token, self._port.error, token)

    def _later(self, token: Hashable, what: Callable[..., None], *args: Any) -> None:
        until = token.ask.until if hasattr(token, "ask") else 0.0
        asyncio.get_running_loop().call_at((until - 1.0 - EPOCH) / 1000, what, *args)


def _holds(settings: Settings, seed: int, port: Port) -> Balancer:
    return Balancer(settings, seed, _Holding(port))  # type: ignore[arg-type]


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
    decide: Callable[[Settings, int, Port], Balancer] | None = None
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
}
