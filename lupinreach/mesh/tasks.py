"""Background tasks whose failure is reported instead of lost."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def spawn(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run work in the background; an exception goes to the loop's handler, which logs it."""
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_report)
    return task


def _report(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    fault = task.exception()
    if fault is not None:
        task.get_loop().call_exception_handler({"message": "a task failed", "exception": fault})
