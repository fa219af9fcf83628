"""Runs that can be stopped by a signal: they are shut down in order and keep their results so far."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
EXIT_STOPPED = 130  # exit code of a command that was stopped by a signal


async def until_stopped(coroutine: Coroutine[Any, Any, None]) -> bool:
    """Runs the coroutine to its end, or cancels it at a signal; returns whether a signal came."""
    loop = asyncio.get_running_loop()
    task = loop.create_task(coroutine)
    stopped = False

    def stop() -> None:
        nonlocal stopped
        stopped = True
        task.cancel()

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop)
    try:
        await task
    except asyncio.CancelledError:
        if not stopped:
            raise
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
    return stopped
