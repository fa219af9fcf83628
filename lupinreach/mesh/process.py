"""What the three programs have in common: settings, signals, the event loop and its end."""

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
from lupinreach.mesh.metrics import Metric, MetricsPlace, read_arguments, serve_metrics
from lupinreach.mesh.server import HttpServer
from lupinreach.mesh.settings import SETTINGS_VARIABLE, Settings, read_settings, settings_path

EXIT_BAD_SETTINGS = 2
EXIT_NO_ADDRESS = 1
SETTINGS_CHECK_S = 1.0
COLLECT_AFTER = 5000  # allocated objects more than before


class Program(Protocol):
    """One of the mesh's programs."""

    async def start(self) -> None: ...

    async def stop(self) -> None:
        """Finish what is under way; returns within the grace period."""

    def settings_changed(self, settings: Settings) -> None: ...

    def metrics(self) -> list[Metric]:
        """The process's own figures."""


class ProgramFactory(Protocol):
    def __call__(self, settings: Settings, log: EventLog) -> Program: ...


class SettingsWatch:
    """Reads the settings file again on SIGHUP and when it has changed."""

    def __init__(self, path: str, program: Program, log: EventLog) -> None:
        self._path = path
        self._program = program
        self._log = log
        self._seen = self._stamp()

    def _stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    async def run(self) -> None:
        """Look for changes without end."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            if self._stamp() != self._seen:
                self.reload()

    def reload(self) -> None:
        """Read the file; a faulty one leaves the settings of before in force."""
        self._seen = self._stamp()
        read = read_settings(self._path)
        if isinstance(read, Err):
            self._log.write(Event.SETTINGS_REFUSED, why=read.err_value)
            return
        self._program.settings_changed(read.ok_value)
        self._log.write(Event.SETTINGS_RELOADED)


async def _serve_metrics(
    program: Program, settings: Settings, place: MetricsPlace | None, log: EventLog
) -> HttpServer | None:
    """Figures are no reason not to serve: a port that can't be had is logged."""
    if place is None:
        return None
    try:
        return await serve_metrics(settings.ip_address, place, program.metrics)
    except OSError as failed:
        log.write(Event.METRICS_UNAVAILABLE, port=place.port, why=failed)
        return None


async def _run(
    settings: Settings, path: str, factory: ProgramFactory, log: EventLog, place: MetricsPlace | None
) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    program = factory(settings, log)
    watch = SettingsWatch(path, program, log)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    loop.set_exception_handler(lambda _, context: _log_fault(log, context))
    try:
        await program.start()
    except OSError as failed:
        print(f"lupinreach: {failed}", file=sys.stderr)
        return EXIT_NO_ADDRESS
    figures = await _serve_metrics(program, settings, place, log)
    log.write(Event.STARTED)
    watching = loop.create_task(watch.run())
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 10, 10)
    await stop.wait()
    log.write(Event.STOPPING)
    await program.stop()
    watching.cancel()
    if figures is not None:
        figures.close()
    log.write(Event.STOPPED)
    return 0


def _log_fault(log: EventLog, context: dict[str, object]) -> None:
    fault = context.get("exception")
    where = ""
    if isinstance(fault, BaseException):
        last = traceback.extract_tb(fault.__traceback__)[-1:]
        where = f"{os.path.basename(last[0].filename)}:{last[0].lineno}" if last else ""
    log.write(Event.FAULT, what=context.get("message"), fault=repr(fault), at=where)


def serve(role: str, factory: ProgramFactory) -> int:
    """Run a program to its end; the exit code."""
    place = read_arguments(sys.argv[1:])
    if isinstance(place, Err):
        print(f"lupinreach: {place.err_value}", file=sys.stderr)
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
    return asyncio.run(_run(settings, path, factory, log, place.ok_value))
