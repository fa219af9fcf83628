"""The inbound side of a proxy: accepts links of other proxies and passes their requests to the gate."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.link import Address, Link, listen
from lupinreach.mesh.messages import (
    BackendStatus,
    BodyPart,
    Cancel,
    Describe,
    Description,
    ForwardedHeartbeat,
    HeartbeatAccepted,
    Message,
    PeerHello,
    Request,
    Shuffle,
    StateUpdatePull,
)
from lupinreach.mesh.proxy.body_credit import BodyReceiver
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.gate import Gate, Outcome
from lupinreach.mesh.proxy.gossip import Gossip
from lupinreach.mesh.proxy.request_age import LinkDelay, SeenRequests
from lupinreach.mesh.tasks import spawn

MAX_BODY_WAIT_DUE_FRACTION = 0.5  # of the time until due; a body that would wait longer goes elsewhere


class Inbound:
    """Accepts links and serves the requests that arrive on them."""

    def __init__(
        self,
        gate: Gate,
        configuration: ConfigurationState,
        gossip: Gossip,
        describe: Callable[[], dict[str, Any]],
        on_heartbeat: Callable[[ForwardedHeartbeat], Awaitable[bool]],
        bandwidth_mbps: float,
        budget: BufferBudget,
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._gate = gate
        self._configuration = configuration
        self._gossip = gossip
        self._describe = describe
        self._tasks_by_link: dict[Link, dict[int, asyncio.Task[None]]] = {}
        self._delays: dict[Link, LinkDelay] = {}
        self._bodies = BodyReceiver(bandwidth_mbps)
        self._budget = budget
        self._seen_requests = SeenRequests()
        self._max_age_s = 0.0  # of the requests since the last read
        self._answered_links: set[Link] = set()  # on which an answer was written that may not have arrived
        self._server: asyncio.Server | None = None
        gate.on_status(self._broadcast)

    async def listen(self, address: Address) -> None:
        """Start to accept links."""
        self._server = await listen(address, lambda: Link(self._on_message, self._on_link_closed))

    @property
    def sending(self) -> bool:
        """True while a message to a proxy waits in this process, or an answer has not arrived at its machine.

        Other messages follow an answer on its link, on which something may always be on its way. So a link is looked
        at only until all of it had arrived once.
        """
        self._answered_links = {link for link in self._answered_links if link.undelivered}
        return bool(self._answered_links) or any(link.unsent for link in self._tasks_by_link)

    def close(self) -> None:
        """Stop accepting and end all links."""
        if self._server is not None:
            self._server.close()

    def _broadcast(self, status: BackendStatus) -> None:
        for link in self._tasks_by_link:
            link.send(status)

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Request):
            self._on_request(link, message)
        elif isinstance(message, BodyPart):
            self._bodies.on_part(link, message)
        elif isinstance(message, Cancel):
            pending_task = self._tasks_by_link.get(link, {}).get(message.number)
            if pending_task is not None:
                pending_task.cancel()
        elif isinstance(message, PeerHello):
            self._tasks_by_link.setdefault(link, {})
            self._age_s(link, message.sent_at)
            link.send(self._gate.status())
        elif isinstance(message, Shuffle):
            self._gossip.answer(link, message)
        elif isinstance(message, StateUpdatePull):
            link.send(self._configuration.to_message())
        elif isinstance(message, ForwardedHeartbeat):
            spawn(self._forwarded_heartbeat(link, message))
        elif isinstance(message, Describe):
            link.send(Description(self._describe()))

    async def _forwarded_heartbeat(self, link: Link, message: ForwardedHeartbeat) -> None:
        if await self._on_heartbeat(message):
            link.send(HeartbeatAccepted(message.number))

    def _age_s(self, link: Link, sent_at: float) -> float:
        delay = self._delays.setdefault(link, LinkDelay())
        return delay.age_s(sent_at, asyncio.get_running_loop().time())

    def take_max_age_s(self) -> float:
        """Return the highest age of a request on arrival since the last call, and reset it."""
        max_age_s, self._max_age_s = self._max_age_s, 0.0
        return max_age_s

    def _on_request(self, link: Link, request: Request) -> None:
        """Start to serve a request, once; a `Cancel` in the same read ends its task before it begins."""
        if not self._seen_requests.is_new(request.number):
            return
        age_s = self._age_s(link, request.sent_at)
        self._max_age_s = max(self._max_age_s, age_s)
        task = spawn(self._serve(link, request, age_s))
        self._tasks_by_link.setdefault(link, {})[request.number] = task

    async def _serve(self, link: Link, request: Request, age_s: float) -> None:
        try:
            link.send(await self._outcome(link, request, age_s))
            self._answered_links.add(link)
        finally:
            self._tasks_by_link.get(link, {}).pop(request.number, None)

    async def _outcome(self, link: Link, request: Request, age_s: float) -> Outcome:
        if not request.body_size:
            return await self._gate.serve(request, age_s)
        if not self._budget.take(request.body_size):
            return self._gate.refuse_for_memory(request)
        try:
            return await self._serve_with_body(link, request, age_s)
        finally:
            self._budget.release(request.body_size)

    async def _serve_with_body(self, link: Link, request: Request, age_s: float) -> Outcome:
        refusal = self._gate.early_refusal(request, age_s)
        if refusal is not None:
            return refusal
        expected_ms = 1000 * self._bodies.expected_wait_s()
        if expected_ms > max(request.wait_ms, MAX_BODY_WAIT_DUE_FRACTION * request.rank) - 1000 * age_s:
            return self._gate.refuse_full(request, expected_ms)
        loop = asyncio.get_running_loop()
        offered_at = loop.time()
        deadline = offered_at + request.remaining_ms / 1000 - age_s
        self._gate.in_flight += 1  # a stopping process waits for it
        try:
            async with asyncio.timeout_at(deadline):
                request.body = await self._bodies.receive(
                    link, request, offered_at - age_s + request.rank / 1000
                )
        except TimeoutError:
            return self._gate.early_refusal(request, deadline - offered_at + age_s) or self._gate.refuse_full(
                request, 0.0
            )
        finally:
            self._gate.in_flight -= 1
        body_wait_s = loop.time() - offered_at
        # The wait for the body does not use up the queue wait limit.
        request.wait_ms += int(1000 * body_wait_s)
        return await self._gate.serve(request, age_s + body_wait_s)

    def _on_link_closed(self, link: Link) -> None:
        self._delays.pop(link, None)
        self._answered_links.discard(link)
        for task in self._tasks_by_link.pop(link, {}).values():
            task.cancel()
