"""The inbound side of a proxy: links of other proxies, whose requests go through the gate."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lupinreach.mesh.link import Address, Link, listen
from lupinreach.mesh.messages import (
    BackendStatus,
    BeatTaken,
    BodyPart,
    Cancel,
    Describe,
    Description,
    ForwardedBeat,
    Message,
    NewsPull,
    PeerHello,
    Request,
    Shuffle,
)
from lupinreach.mesh.proxy.body_credit import BodyReceiver
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.gate import Gate, Outcome
from lupinreach.mesh.proxy.gossip import Gossip
from lupinreach.mesh.proxy.request_age import LinkDelay, SeenRequests
from lupinreach.mesh.tasks import spawn

BODY_WAIT_SHARE = 0.5  # of the time until it is due: a body that would wait longer goes elsewhere


class Inbound:
    """Accepts links and serves the requests that come over them."""

    def __init__(
        self,
        gate: Gate,
        configuration: ConfigurationState,
        gossip: Gossip,
        describe: Callable[[], dict[str, Any]],
        on_beat: Callable[[ForwardedBeat], bool],
        bandwidth_mbps: float,
    ) -> None:
        self._on_beat = on_beat
        self._gate = gate
        self._configuration = configuration
        self._gossip = gossip
        self._describe = describe
        self._links: dict[Link, dict[int, asyncio.Task[None]]] = {}
        self._delays: dict[Link, LinkDelay] = {}
        self._bodies = BodyReceiver(bandwidth_mbps)
        self._seen = SeenRequests()
        self._most_age_s = 0.0  # of the requests since it was last asked for
        self._server: asyncio.Server | None = None
        gate.on_status(self._broadcast)

    async def listen(self, address: Address) -> None:
        """Start to accept links."""
        self._server = await listen(address, lambda: Link(self._message, self._closed))

    def close(self) -> None:
        """Stop accepting and end all links."""
        if self._server is not None:
            self._server.close()

    def _broadcast(self, status: BackendStatus) -> None:
        for link in self._links:
            link.send(status)

    def _message(self, link: Link, message: Message) -> None:
        if isinstance(message, Request):
            self._on_request(link, message)
        elif isinstance(message, BodyPart):
            self._bodies.on_part(link, message)
        elif isinstance(message, Cancel):
            task_out = self._links.get(link, {}).get(message.number)
            if task_out is not None:
                task_out.cancel()
        elif isinstance(message, PeerHello):
            self._links.setdefault(link, {})
            self._age_s(link, message.sent_at)
            link.send(self._gate.status())
        elif isinstance(message, Shuffle):
            self._gossip.answer(link, message)
        elif isinstance(message, NewsPull):
            link.send(self._configuration.to_message())
        elif isinstance(message, ForwardedBeat):
            if self._on_beat(message):
                link.send(BeatTaken(message.number))
        elif isinstance(message, Describe):
            link.send(Description(self._describe()))

    def _age_s(self, link: Link, sent_at: float) -> float:
        delay = self._delays.setdefault(link, LinkDelay())
        return delay.age_s(sent_at, asyncio.get_running_loop().time())

    def take_most_age_s(self) -> float:
        """The longest that a request was on its way here beyond the usual, since this was last asked."""
        most, self._most_age_s = self._most_age_s, 0.0
        return most

    def _on_request(self, link: Link, asked: Request) -> None:
        """Serve a request once; a `Cancel` that came with it ends its task before that begins."""
        if not self._seen.is_new(asked.number):
            return
        age_s = self._age_s(link, asked.sent_at)
        self._most_age_s = max(self._most_age_s, age_s)
        task = spawn(self._serve(link, asked, age_s))
        self._links.setdefault(link, {})[asked.number] = task

    async def _serve(self, link: Link, asked: Request, age_s: float) -> None:
        try:
            link.send(await self._outcome(link, asked, age_s))
        finally:
            self._links.get(link, {}).pop(asked.number, None)

    async def _outcome(self, link: Link, asked: Request, age_s: float) -> Outcome:
        if not asked.body_size:
            return await self._gate.serve(asked, age_s)
        refusal = self._gate.refuse_early(asked, age_s)
        if refusal is not None:
            return refusal
        expected_ms = 1000 * self._bodies.expected_wait_s()
        if expected_ms > max(asked.wait_ms, BODY_WAIT_SHARE * asked.rank) - 1000 * age_s:
            return self._gate.refuse_full(asked, expected_ms)
        loop = asyncio.get_running_loop()
        offered_at = loop.time()
        until = offered_at + asked.remaining_ms / 1000 - age_s
        self._gate.in_flight += 1  # a process that ends waits for it
        try:
            async with asyncio.timeout_at(until):
                asked.body = await self._bodies.receive(link, asked, offered_at - age_s + asked.rank / 1000)
        except TimeoutError:
            return self._gate.refuse_early(asked, until - offered_at + age_s) or self._gate.refuse_full(
                asked, 0.0
            )
        finally:
            self._gate.in_flight -= 1
        took_s = loop.time() - offered_at
        asked.wait_ms += int(1000 * took_s)  # the wait for the body is none for the backend
        return await self._gate.serve(asked, age_s + took_s)

    def _closed(self, link: Link) -> None:
        self._delays.pop(link, None)
        for task in self._links.pop(link, {}).values():
            task.cancel()
