"""Convert a node's knowledge of the platform to messages and back."""

from __future__ import annotations

import zlib

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from sequoiaspoke.core.mesh.configdelta import ConfigDelta
from sequoiaspoke.core.mesh.evacuation import Evacuation
from sequoiaspoke.core.mesh.model import (
    CallerLimits,
    Departure,
    Endpoint,
    PublishedEndpoint,
    Route,
    Service,
)
from sequoiaspoke.core.mesh.stateupdate import StateUpdate
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.errors import MessageError
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

# Maximum size of a decompressed configuration in bytes; a whole one of 2,000 routes
# has some 200 KB.
MAX_CONFIG_BYTES = 16 << 20


def pack_knowledge(knowledge: StateUpdate) -> wire.Knowledge:
    """Return the message for what a node knows."""
    config = None
    if knowledge.config is not None:
        config = pack_config(knowledge.config, knowledge.config_revision)
    return wire.Knowledge(
        revision=knowledge.revision,
        as_of=knowledge.as_of,
        whole=knowledge.is_snapshot,
        endpoints=[pack_endpoint(each) for each in knowledge.endpoints],
        gone=[pack_departure(each) for each in knowledge.departures],
        lapsing=[pack_departure(each) for each in knowledge.lapsing],
        config=config,
        evacuations=pack_evacuations(knowledge.evacuations),
    )


def unpack_knowledge(message: wire.Knowledge, clock_offset: float) -> StateUpdate:
    """Return what a node knows from its message; raise MessageError.

    Parameters
    ----------
    clock_offset : float
        Seconds by which the other node's clock is ahead of this one's.
    """
    config, config_revision = None, 0
    if message.config is not None:
        config, config_revision = unpack_config(message.config)
    return StateUpdate(
        revision=message.revision,
        as_of=message.as_of - clock_offset,
        is_snapshot=message.whole,
        endpoints=tuple(unpack_endpoint(each) for each in message.endpoints),
        departures=tuple(unpack_departure(each) for each in message.gone),
        lapsing=tuple(unpack_departure(each) for each in message.lapsing),
        config=config,
        config_revision=config_revision,
        evacuations=unpack_evacuations(message.evacuations),
    )


def pack_endpoint(published: PublishedEndpoint) -> wire.Endpoint:
    """Return the message for an endpoint."""
    endpoint = published.endpoint
    return wire.Endpoint(
        endpoint.instance,
        endpoint.service,
        endpoint.host,
        endpoint.port,
        endpoint.zone,
        endpoint.slots,
        endpoint.draining,
        endpoint.cold_seconds,
        published.revision,
        endpoint.born,
        published.readable,
    )


def unpack_endpoint(message: wire.Endpoint) -> PublishedEndpoint:
    """Return an endpoint from its message."""
    endpoint = Endpoint(
        message.instance,
        message.service_name,
        message.host,
        message.port,
        message.zone,
        message.slots,
        message.draining,
        message.cold_seconds,
        message.born,
    )
    return PublishedEndpoint(endpoint, message.revision, message.readable)


def pack_departure(departure: Departure) -> wire.Gone:
    """Return the message for a departure."""
    return wire.Gone(
        departure.instance, departure.revision, departure.born, departure.drained
    )


def unpack_departure(message: wire.Gone) -> Departure:
    """Return a departure from its message."""
    return Departure(message.instance, message.born, message.revision, message.drained)


def pack_evacuations(
    evacuations: tuple[Evacuation, ...] | None,
) -> list[wire.Evacuation] | None:
    """Return the messages for the zones' latest evacuations, None for None."""
    if evacuations is None:
        return None
    return [
        wire.Evacuation(each.zone, each.revision, each.ended) for each in evacuations
    ]


def unpack_evacuations(
    messages: list[wire.Evacuation] | None,
) -> tuple[Evacuation, ...] | None:
    """Return the zones' latest evacuations from their messages, None for None."""
    if messages is None:
        return None
    return tuple(Evacuation(each.zone, each.revision, each.ended) for each in messages)


def pack_config(delta: ConfigDelta, revision: int) -> bytes:
    """Return the compressed message for a delta of the configuration."""
    limits = delta.limits
    message = wire.ConfigDelta(
        delta.base,
        delta.version,
        revision,
        [pack_route(route) for route in delta.routes],
        list(delta.removed),
        [pack_service(each) for _, each in sorted(delta.services.items())],
        wire.Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        ),
    )
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return zlib.compress(buffer.getvalue())


def unpack_config(packed: bytes) -> tuple[ConfigDelta, int]:
    """Return a delta of the configuration and its revision; raise MessageError."""
    message = wire.ConfigDelta()
    try:
        decompressed = zlib.decompressobj().decompress(packed, MAX_CONFIG_BYTES)
        message.read(TCompactProtocolAccelerated(TMemoryBuffer(decompressed)))
    except Exception as error:
        # The decoder raises any kind of exception on malformed bytes.
        raise MessageError(f"cannot decode configuration: {error!r}") from error
    limits = message.limits
    delta = ConfigDelta(
        base=message.base,
        version=message.version,
        routes=tuple(unpack_route(route) for route in message.routes),
        removed=tuple(message.removed),
        services={each.name: unpack_service(each) for each in message.services},
        limits=CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        ),
    )
    return delta, message.revision


def pack_service(service: Service) -> wire.Service:
    """Return the message for a service."""
    return wire.Service(
        service.name, service.health_path, service.cold_rate, service.cold_seconds
    )


def unpack_service(message: wire.Service) -> Service:
    """Return a service from its message."""
    return Service(
        message.name, message.health_path, message.cold_rate, message.cold_seconds
    )


def pack_route(route: Route) -> wire.Route:
    """Return the message for a route."""
    return wire.Route(
        route.name,
        route.host,
        route.prefix,
        route.idempotent,
        route.timeout,
        route.objective,
        route.priority,
        route.attempts,
        [wire.Share(share.service, share.weight) for share in route.split],
        sorted(route.regions),
        route.large_bodies,
    )


def unpack_route(message: wire.Route) -> Route:
    """Return a route from its message."""
    return Route(
        message.name,
        message.host,
        message.prefix,
        message.idempotent,
        message.timeout,
        message.objective,
        message.priority,
        message.attempts,
        tuple(
            WeightedService(each.service_name, each.weight) for each in message.split
        ),
        frozenset(message.regions),
        message.large_bodies,
    )
