"""The inbound side of a proxy: links of other proxies, whose requests go through the gate."""

from __future__ import annotations

import asyncio

from lupinreach.mesh.link import Address, Link, listen
from lupinreach.mesh.messages import BackendStatus, Cancel, Message, NewsPull, PeerHello, Request
from lupinreach.mesh.proxy.gate import Gate
from lupinreach.mesh.proxy.news import NewsHolder
from lupinreach.mesh.tasks import spawn


class Inbound:
    """Accepts links and serves the requests that come over them."""

    def __init__(self, gate: Gate, news: NewsHolder) -> None:
        self._gate = gate
        self._news = news
        self._links: dict[Link, dict[int, asyncio.Task[None]]] = {}
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
            task = spawn(self._serve(link, message))
            self._links.setdefault(link, {})[message.number] = task
        elif isinstance(message, Cancel):
            task_out = self._links.get(link, {}).get(message.number)
            if task_out is not None:
                task_out.cancel()
        elif isinstance(message, PeerHello):
            self._links.setdefault(link, {})
            link.send(self._gate.status())
        elif isinstance(message, NewsPull):
            link.send(self._news.as_news())

    async def _serve(self, link: Link, asked: Request) -> None:
        try:
            link.send(await self._gate.serve(asked))
        finally:
            self._links.get(link, {}).pop(asked.number, None)

    def _closed(self, link: Link) -> None:
        for task in self._links.pop(link, {}).values():
            task.cancel()
