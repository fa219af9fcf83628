"""Background tasks whose exceptions are reported instead of lost."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def spawn(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run a coroutine as a background task; an exception is passed to the loop's handler, which logs it."""
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report_exception)
    return task


def _report_exception(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        task.get_loop().call_exception_handler({"message": "a task failed", "exception": error})
