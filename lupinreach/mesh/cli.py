"""Command line of the mesh: validate files, inspect a process, read logs, run the model checker and a demo."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from pathlib import Path

import orjson
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err

from lupinreach.mesh.configuration import Configuration
from lupinreach.mesh.configuration_check import parse_configuration
from lupinreach.mesh.describe import describe
from lupinreach.mesh.link import parse_address
from lupinreach.mesh.model.command import Model
from lupinreach.mesh.settings import read_settings

EXIT_INVALID = 2
EXIT_UNREACHABLE = 1
LOG_LINE = re.compile(r"(?P<at>\d+\.\d+) (?P<node>\S+) E(?P<number>\d+) (?P<name>\S+)(?P<facts>.*)")


class CheckConfiguration(Command):
    """`check-configuration`."""

    name = "check-configuration"
    description = "Check an operator's configuration; an error message names the invalid key."
    arguments = [argument("file", "the configuration, as JSON")]

    def handle(self) -> int:
        """Exit code 2 if the file is invalid."""
        try:
            data = Path(self.argument("file")).read_bytes()
        except OSError as failed:
            self.line_error(str(failed))
            return EXIT_INVALID
        parsed = parse_configuration(data)
        if isinstance(parsed, Err):
            self.line_error(parsed.err_value)
            return EXIT_INVALID
        self.line(_summary(parsed.ok_value))
        return 0


def _summary(configuration: Configuration) -> str:
    routes = sum(len(host.path_rules) for host in configuration.virtual_hosts)
    return f"version {configuration.version}: {len(configuration.services)} services, {routes} routes"


class CheckSettings(Command):
    """`check-settings`."""

    name = "check-settings"
    description = "Check a process's settings file; an error message names the invalid key."
    arguments = [argument("file", "the settings, as JSON")]

    def handle(self) -> int:
        """Exit code 2 if the file is invalid."""
        read = read_settings(self.argument("file"))
        if isinstance(read, Err):
            self.line_error(read.err_value)
            return EXIT_INVALID
        self.line(f"{read.ok_value.node_name}: valid")
        return 0


class Show(Command):
    """`show`: prints the state that a process describes."""

    name = "show"
    description = "Show the state of a proxy, a registry or a store."
    arguments = [
        argument(
            "address",
            "host:port for links: the inbound address of a proxy, the internal port of a core machine",
        )
    ]

    def handle(self) -> int:
        """Exit code 1 if the process does not respond, 2 for an invalid address."""
        try:
            address = parse_address(self.argument("address"))
        except ValueError as invalid:
            self.line_error(str(invalid))
            return EXIT_INVALID
        facts = asyncio.run(describe(*address))
        if facts is None:
            self.line_error(f"{self.argument('address')}: no answer")
            return EXIT_UNREACHABLE
        self.line(orjson.dumps(facts, option=orjson.OPT_INDENT_2).decode())
        return 0


class Events(Command):
    """`events`: prints or counts log events."""

    name = "events"
    description = "Print or count the numbered events in logs of the mesh."
    arguments = [argument("files", "log files", multiple=True)]
    options = [
        option("number", "N", "only the event with this number", flag=False),
        option("node", None, "only processes whose name starts with this", flag=False),
        option("count", "c", "count events by process instead of printing them"),
    ]

    def handle(self) -> int:
        """Lines that are not events are ignored."""
        counts: Counter[tuple[str, str]] = Counter()
        for file in self.argument("files"):
            for text in Path(file).read_text(errors="replace").splitlines():
                line = LOG_LINE.search(text)
                if line is not None and self._matches_options(line):
                    counts[line["node"], f"E{line['number']} {line['name']}"] += 1
                    if not self.option("count"):
                        self.line(line[0])
        if self.option("count"):
            for (node, event), count in sorted(counts.items()):
                self.line(f"{count:6} {node} {event}")
        return 0

    def _matches_options(self, line: re.Match[str]) -> bool:
        number, node = self.option("number"), self.option("node")
        return (not number or line["number"] == number) and (not node or line["node"].startswith(node))


class Demo(Command):
    """`demo`: runs a small mesh."""

    name = "demo"
    description = "Start a small mesh on loopback with stub backends, send requests, and show the results."
    options = [option("seconds", "s", "duration of the request load", flag=False, default="10")]

    def handle(self) -> int:
        """Exit code 1 if the mesh did not serve the requests."""
        from lupinreach.mesh.demo import run_demo  # only here: it starts processes

        return asyncio.run(run_demo(float(self.option("seconds")), self.line))


def main(arguments: list[str] | None = None) -> int:
    """Entry point of `lupinreach mesh`."""
    application = Application("lupinreach mesh", "0.3.0")
    application.auto_exits(False)
    for command in (CheckConfiguration(), CheckSettings(), Show(), Events(), Demo(), Model()):
        application.add(command)
    if arguments is None:
        return application.run()
    from cleo.io.inputs.argv_input import ArgvInput

    return application.run(ArgvInput(["lupinreach mesh", *arguments]))
