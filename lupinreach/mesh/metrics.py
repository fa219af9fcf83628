"""A process's own figures as text (the Prometheus exposition format), served over HTTP at a port of their own."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from lupinreach.mesh.dispatch import Dispatcher
from lupinreach.mesh.link import Address
from lupinreach.mesh.server import HttpRequest, HttpResponse, HttpServer

OPTION = "--metrics"
PREFIX = "lupinreach"
TEXT_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"
MOST_PORT = 65535


@dataclass(frozen=True, slots=True)
class Metric:
    """One figure; its unit stands at the end of the name."""

    name: str
    value: float
    help: str
    labels: str = ""  # `key="value"`, separated by commas; figures of one name stand together


@dataclass(frozen=True, slots=True)
class MetricsPlace:
    """Where figures are served: `PORT/PATH` on the command line."""

    port: int
    path: str

    @classmethod
    def parse(cls, text: str) -> Result[MetricsPlace, str]:
        """From `PORT/PATH`, or a complaint."""
        port, slash, path = text.partition("/")
        if not slash or not path or not port.isdigit() or not 0 < int(port) <= MOST_PORT:
            return Err(f"{OPTION}: {text!r} is not PORT/PATH")
        return Ok(cls(int(port), path))


def read_arguments(arguments: list[str]) -> Result[MetricsPlace | None, str]:
    """The place that a program's arguments name, if any (`--metrics PORT/PATH` is the only option there is)."""
    if not arguments:
        return Ok(None)
    if len(arguments) != 2 or arguments[0] != OPTION:
        return Err(f"arguments: {OPTION} PORT/PATH, or none")
    return MetricsPlace.parse(arguments[1])


def render(metrics: Iterable[Metric]) -> bytes:
    """The figures as text, each with its meaning."""
    lines: list[str] = []
    told = ""
    for metric in metrics:
        name = f"{PREFIX}_{metric.name}"
        kind = "counter" if name.endswith("_total") else "gauge"
        if name != told:
            lines += [f"# HELP {name} {metric.help}", f"# TYPE {name} {kind}"]
        labels = f"{{{metric.labels}}}" if metric.labels else ""
        lines.append(f"{name}{labels} {metric.value:g}")
        told = name
    return "\n".join([*lines, ""]).encode()


async def serve_metrics(host: str, place: MetricsPlace, collect: Callable[[], list[Metric]]) -> HttpServer:
    """Serve what `collect` gives at each request; OSError where the port can't be had."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, TEXT_TYPE, render(collect()))

    calls = Dispatcher()
    calls.add("GET", *place.path.strip("/").split("/"), call=answer)
    server = HttpServer(calls.handle)
    address: Address = (host, place.port)
    await server.listen(address)
    return server
