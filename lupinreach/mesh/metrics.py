"""Process metrics in the Prometheus text exposition format, served over HTTP on a separate port."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from lupinreach.mesh.dispatch import Dispatcher
from lupinreach.mesh.http_types import HttpRequest, HttpResponse
from lupinreach.mesh.link import Address
from lupinreach.mesh.server import HttpServer

METRICS_OPTION = "--metrics"
NAME_PREFIX = "lupinreach"
CONTENT_TYPE_HEADER = b"Content-Type: text/plain; version=0.0.4\r\n"
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric sample; the name ends with the unit."""

    name: str
    value: float
    help: str
    labels: str = ""  # `key="value"` pairs separated by commas; samples of one name must be consecutive


@dataclass(frozen=True, slots=True)
class MetricsEndpoint:
    """Port and path at which metrics are served: `PORT/PATH` on the command line."""

    port: int
    path: str

    @classmethod
    def parse(cls, text: str) -> Result[MetricsEndpoint, str]:
        """Parse `PORT/PATH`, or return an error message."""
        port, separator, path = text.partition("/")
        if not separator or not path or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            return Err(f"{METRICS_OPTION}: {text!r} is not PORT/PATH")
        return Ok(cls(int(port), path))


def read_arguments(arguments: list[str]) -> Result[MetricsEndpoint | None, str]:
    """The metrics endpoint given on the command line, if any; `--metrics PORT/PATH` is the only option."""
    if not arguments:
        return Ok(None)
    if len(arguments) != 2 or arguments[0] != METRICS_OPTION:
        return Err(f"arguments: {METRICS_OPTION} PORT/PATH, or none")
    return MetricsEndpoint.parse(arguments[1])


def render(metrics: Iterable[Metric]) -> bytes:
    """Render the samples with HELP and TYPE lines; names ending in `_total` are counters, others gauges."""
    lines: list[str] = []
    previous_name = ""
    for metric in metrics:
        name = f"{NAME_PREFIX}_{metric.name}"
        kind = "counter" if name.endswith("_total") else "gauge"
        if name != previous_name:
            lines += [f"# HELP {name} {metric.help}", f"# TYPE {name} {kind}"]
        labels = f"{{{metric.labels}}}" if metric.labels else ""
        lines.append(f"{name}{labels} {metric.value:g}")
        previous_name = name
    return "\n".join([*lines, ""]).encode()


async def serve_metrics(
    host: str, endpoint: MetricsEndpoint, collect: Callable[[], list[Metric]]
) -> HttpServer:
    """Serve what `collect` returns on each request; raises OSError if the port can't be bound."""

    async def respond(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, CONTENT_TYPE_HEADER, render(collect()))

    dispatcher = Dispatcher()
    dispatcher.add("GET", *endpoint.path.strip("/").split("/"), call=respond)
    server = HttpServer(dispatcher.handle)
    address: Address = (host, endpoint.port)
    await server.listen(address)
    return server
