"""Runs that a signal stops: what was started is taken down, and what was seen so far counts."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

STOPS = (signal.SIGINT, signal.SIGTERM)
EXIT_STOPPED = 130  # exit code of a command that was stopped


async def until_stopped(work: Coroutine[Any, Any, None]) -> bool:
    """Run it to its end, or until a signal comes; if one did."""
    loop = asyncio.get_running_loop()
    task = loop.create_task(work)
    stopped = False

    def stop() -> None:
        nonlocal stopped
        stopped = True
        task.cancel()

    for number in STOPS:
        loop.add_signal_handler(number, stop)
    try:
        await task
    except asyncio.CancelledError:
        if not stopped:
            raise
    finally:
        for number in STOPS:
            loop.remove_signal_handler(number)
    return stopped
