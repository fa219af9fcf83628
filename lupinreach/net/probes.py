"""Probes of backends, where the settings allow them: reachability and load report."""

from __future__ import annotations

from lupinreach.net import http, protocol
from lupinreach.net.connection_end import ATTEMPT_ENDS, ConnectionEnd
from lupinreach.net.exchange import Exchange, read_load
from lupinreach.net.serving import Serving


async def probe(serving: Serving, backend: int) -> None:
    """Probe one backend and report the outcome to the module."""
    settings, clock = serving.settings, serving.clock
    place = serving.directory.place(backend)
    path = protocol.STATS_PATH if settings.load_fields else protocol.LIVE_PATH
    message = http.request(b"GET", path, (), b"%s:%d" % (place.address[0].encode(), place.address[1]))
    sent = clock.now()
    until = sent + min(p.slo or p.timeout for p in settings.products)
    exchange = Exchange(serving.pool, place, message, clock.on_loop(until))
    await exchange.run()
    serving.counters.others[f"probe {exchange.end.value}"] += 1
    load = None
    if exchange.answer is not None:
        load = read_load(exchange.answer.header(protocol.LOAD) or bytes(exchange.answer.body))
    ending = ATTEMPT_ENDS[
        exchange.end if exchange.end is not ConnectionEnd.REJECTED else ConnectionEnd.ERROR_STATUS
    ]
    serving.balancer.on_probe(clock.now(), backend, ending, clock.now() - sent, load)
