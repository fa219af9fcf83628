"""Queries the state of a running process of the mesh."""

from __future__ import annotations

import asyncio
from typing import Any

from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import Describe, Description, Message

QUERY_TIMEOUT_S = 2.0


async def describe(host: str, port: int) -> dict[str, Any] | None:
    """The state described by the process at an address; None if it does not respond."""
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[dict[str, Any]] = loop.create_future()

    def on_message(link: Link, message: Message) -> None:
        if isinstance(message, Description) and not answer.done():
            answer.set_result(message.facts)

    try:
        async with asyncio.timeout(QUERY_TIMEOUT_S):
            link = Link(on_message, lambda link: None)
            await loop.create_connection(lambda: link, host, port)
            link.send(Describe())
            return await answer
    except (OSError, TimeoutError):
        return None
