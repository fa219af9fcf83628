"""Model of the incarnation numbers of one agent, on the real `OwnIncarnation`.

Processes start, one or two at a time, on a disk that is current, older or empty. They may sync it, send
messages to either of two peers, settle and be killed. No two processes may announce the same incarnation.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass, replace

from lupinreach.fleet.incarnation import Incarnation, OwnIncarnation, credible_number

MAX_STARTED, MAX_DISKS = 2, 3
RunningProcess = tuple[int, int, int, bool, bool]  # incarnation number, token, process, settled, superseded


@dataclass(frozen=True)
class State:
    """The state of the disk, of the processes and of what the peers know."""

    running: tuple[RunningProcess, ...] = ()
    disk: int = 0
    disk_versions: tuple[int, ...] = (0,)  # all numbers that the disk has held
    peers: tuple[tuple[int, int] | None, ...] = (None, None)  # the newest incarnation that each peer knows
    announced: frozenset[tuple[int, int, int]] = frozenset()  # incarnation number, token, process
    started: int = 0
    duplicate: int | None = None  # a number that two processes announced with the same token


class IncarnationModel:
    """The model for the search.

    `token` gives each process its token. If `peers_raise_number` is set, a process raises its number above
    what peers know.
    """

    fair: frozenset[str] = frozenset()

    def __init__(
        self, token: Callable[[int], int] = lambda process: process, peers_raise_number: bool = True
    ) -> None:
        self._token = token
        self._peers_raise_number = peers_raise_number

    def first(self) -> Iterable[State]:
        return [State()]

    def moves(self, state: State) -> Iterator[tuple[str, State]]:
        if state.started > MAX_STARTED or len(state.disk_versions) > MAX_DISKS:
            return
        if not state.running:
            for name, disk_number in (
                ("start", state.disk),
                ("start older", state.disk_versions[0]),
                ("start empty", 0),
            ):
                yield name, self._start_process(state, disk_number)
        else:
            if len(state.running) == 1:
                yield "twin", self._start_process(state, state.disk)
            number, token, process, _, superseded = state.running[-1]
            synced_number = max(state.disk, number)
            yield (
                "sync",
                replace(
                    state,
                    disk=synced_number,
                    disk_versions=tuple(sorted({*state.disk_versions, synced_number})),
                ),
            )
            for peer in range(len(state.peers)):
                yield f"tell {peer}", self._announce(state, peer)
            yield (
                "settle",
                replace(state, running=(*state.running[:-1], (number, token, process, True, superseded))),
            )
            yield "kill", replace(state, running=state.running[:-1])

    def _start_process(self, state: State, disk_number: int) -> State:
        process = (
            credible_number(disk_number, ()) + 1,
            self._token(state.started),
            state.started,
            False,
            False,
        )
        return replace(state, running=(*state.running, process), started=state.started + 1)

    def _announce(self, state: State, peer: int) -> State:
        number, token, process, settled, superseded = state.running[-1]
        own = OwnIncarnation(number - 1, token)
        own.settled, own.superseded = settled, superseded
        known = state.peers[peer]
        if known is not None and self._peers_raise_number:
            own.observe(peer, Incarnation(*known))
        running = (
            *state.running[:-1],
            (own.incarnation.number, own.incarnation.token, process, own.settled, own.superseded),
        )
        if own.superseded:
            return replace(state, running=running)
        life = own.incarnation.number, own.incarnation.token
        duplicate = next(
            (
                n
                for n, other_token, other_process in state.announced
                if (n, other_token) == life and other_process != process
            ),
            state.duplicate,
        )
        peers = tuple(max(life, p or (0, 0)) if i == peer else p for i, p in enumerate(state.peers))
        return replace(
            state,
            running=running,
            announced=state.announced | {(*life, process)},
            peers=peers,
            duplicate=duplicate,
        )

    def key(self, state: State) -> Hashable:
        return state

    def wrong(self, state: State) -> str | None:
        """Reports an incarnation number that was announced by two processes with one token."""
        return None if state.duplicate is None else f"life {state.duplicate} twice"

    def done(self, state: State) -> bool:
        return True
