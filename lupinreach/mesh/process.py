"""Entry point shared by the three programs: settings, signals, the event loop and shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import traceback
from typing import Protocol

from result import Err

from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.metrics import Metric, MetricsEndpoint, read_arguments, serve_metrics
from lupinreach.mesh.server import HttpServer
from lupinreach.mesh.settings import SETTINGS_VARIABLE, Settings, read_settings, settings_path

EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 1
SETTINGS_CHECK_INTERVAL_S = 1.0
GC_THRESHOLD_ALLOCATIONS = 5000  # net allocations that trigger a collection of the youngest generation


class Program(Protocol):
    """A program of the mesh: proxy, registry or store."""

    async def start(self) -> None:
        """Start serving; raises OSError if an address can't be bound."""
        ...

    async def stop(self) -> None:
        """Finish work in progress; returns within the grace period."""

    def settings_changed(self, settings: Settings) -> None:
        """Apply reloaded settings."""
        ...

    def metrics(self) -> list[Metric]:
        """The current metric samples of the process."""


class ProgramFactory(Protocol):
    """Builds a program from its settings."""

    def __call__(self, settings: Settings, log: EventLog) -> Program: ...


class SettingsWatch:
    """Reloads the settings file on SIGHUP and when its modification time or size changes."""

    def __init__(self, path: str, program: Program, log: EventLog) -> None:
        self._path = path
        self._program = program
        self._log = log
        self._last_file_state = self._file_state()

    def _file_state(self) -> tuple[int, int]:
        try:
            file_stat = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (file_stat.st_mtime_ns, file_stat.st_size)

    async def run(self) -> None:
        """Check for changes until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self._file_state() != self._last_file_state:
                self.reload()

    def reload(self) -> None:
        """Reload the file; if it is invalid, the previous settings stay in force."""
        self._last_file_state = self._file_state()
        read = read_settings(self._path)
        if isinstance(read, Err):
            self._log.write(Event.SETTINGS_REFUSED, why=read.err_value)
            return
        self._program.settings_changed(read.ok_value)
        self._log.write(Event.SETTINGS_RELOADED)


async def _serve_metrics(
    program: Program, settings: Settings, endpoint: MetricsEndpoint | None, log: EventLog
) -> HttpServer | None:
    """Start the metrics server; a port that can't be bound is logged and does not stop the program."""
    if endpoint is None:
        return None
    try:
        return await serve_metrics(settings.ip_address, endpoint, program.metrics)
    except OSError as failed:
        log.write(Event.METRICS_UNAVAILABLE, port=endpoint.port, why=failed)
        return None


async def _run(
    settings: Settings, path: str, factory: ProgramFactory, log: EventLog, endpoint: MetricsEndpoint | None
) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    program = factory(settings, log)
    watch = SettingsWatch(path, program, log)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    loop.set_exception_handler(lambda _, context: _log_unhandled_error(log, context))
    try:
        await program.start()
    except OSError as failed:
        print(f"lupinreach: {failed}", file=sys.stderr)
        return EXIT_START_FAILED
    metrics_server = await _serve_metrics(program, settings, endpoint, log)
    log.write(Event.STARTED)
    watch_task = loop.create_task(watch.run())
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS, 10, 10)
    await stop.wait()
    log.write(Event.STOPPING)
    await program.stop()
    watch_task.cancel()
    if metrics_server is not None:
        metrics_server.close()
    log.write(Event.STOPPED)
    return 0


def _log_unhandled_error(log: EventLog, context: dict[str, object]) -> None:
    error = context.get("exception")
    location = ""
    if isinstance(error, BaseException):
        last_frame = traceback.extract_tb(error.__traceback__)[-1:]
        location = f"{os.path.basename(last_frame[0].filename)}:{last_frame[0].lineno}" if last_frame else ""
    log.write(Event.FAULT, what=context.get("message"), fault=repr(error), at=location)


def serve(role: str, factory: ProgramFactory) -> int:
    """Run a program until it is stopped; returns the exit code."""
    endpoint = read_arguments(sys.argv[1:])
    if isinstance(endpoint, Err):
        print(f"lupinreach: {endpoint.err_value}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    path = settings_path()
    if path is None:
        print(f"lupinreach: {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    read = read_settings(path)
    if isinstance(read, Err):
        print(f"lupinreach: {path}: {read.err_value}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = read.ok_value
    log = EventLog(f"{settings.node_name}/{role}")
    return asyncio.run(_run(settings, path, factory, log, endpoint.ok_value))
