"""Life numbers of one agent: processes that start, one or two at a time, on a disk that is current, older or empty, on the real `Own`.

They sync or don't, talk to either of two peers or don't, settle, are killed. No two may say the same life.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass, replace

from lupinreach.fleet.life import Life, Own, believed

MOST_STARTED, MOST_DISKS = 2, 3
Running = tuple[int, int, int, bool, bool]  # life number, token, which process, settled, superseded


@dataclass(frozen=True)
class State:
    running: tuple[Running, ...] = ()
    disk: int = 0
    older: tuple[int, ...] = (0,)  # what it held before
    peers: tuple[tuple[int, int] | None, ...] = (None, None)  # the newest life that each knows
    said: frozenset[tuple[int, int, int]] = frozenset()  # life number, token, by which process
    started: int = 0
    twice: int | None = None  # a number that two processes said by one token


class IncarnationModel:
    """The model: `token` gives a process its own; `raises`: what peers know raises a number."""

    fair: frozenset[str] = frozenset()

    def __init__(
        self, token: Callable[[int], int] = lambda process: process, peers_raise_number: bool = True
    ) -> None:
        self._token = token
        self._raises = peers_raise_number

    def first(self) -> Iterable[State]:
        return [State()]

    def moves(self, s: State) -> Iterator[tuple[str, State]]:
        if s.started > MOST_STARTED or len(s.older) > MOST_DISKS:
            return
        if not s.running:
            for name, kept in (("start", s.disk), ("start older", s.older[0]), ("start empty", 0)):
                yield name, self._started(s, kept)
        else:
            if len(s.running) == 1:
                yield "twin", self._started(s, s.disk)
            number, token, process, _, silent = s.running[-1]
            synced = max(s.disk, number)
            yield "sync", replace(s, disk=synced, older=tuple(sorted({*s.older, synced})))
            for to in range(len(s.peers)):
                yield f"tell {to}", self._told(s, to)
            yield "settle", replace(s, running=(*s.running[:-1], (number, token, process, True, silent)))
            yield "kill", replace(s, running=s.running[:-1])

    def _started(self, s: State, kept: int) -> State:
        fresh = believed(kept, ()) + 1, self._token(s.started), s.started, False, False
        return replace(s, running=(*s.running, fresh), started=s.started + 1)

    def _told(self, s: State, to: int) -> State:
        number, token, process, settled, silent = s.running[-1]
        one = Own(number - 1, token)
        one.settled, one.superseded = settled, silent
        known = s.peers[to]
        if known is not None and self._raises:
            one.hear(to, Life(*known))
        running = (*s.running[:-1], (one.life.number, one.life.token, process, one.settled, one.superseded))
        if one.superseded:
            return replace(s, running=running)
        life = one.life.number, one.life.token
        twice = next((n for n, mark, other in s.said if (n, mark) == life and other != process), s.twice)
        peers = tuple(max(life, p or (0, 0)) if i == to else p for i, p in enumerate(s.peers))
        return replace(s, running=running, said=s.said | {(*life, process)}, peers=peers, twice=twice)

    def key(self, state: State) -> Hashable:
        return state

    def wrong(self, state: State) -> str | None:
        return None if state.twice is None else f"life {state.twice} twice"

    def done(self, state: State) -> bool:
        return True
