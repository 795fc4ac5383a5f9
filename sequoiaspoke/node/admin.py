"""The admin pages of a node: metrics, status, configuration and health."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from tornado.httputil import HTTPMessageDelegate
from tornado.web import Application, RequestHandler

from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.node.openconnections import LimitedHTTPServer

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

    from sequoiaspoke.node.app import Node

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NOT_READY_STATUS = 503
# Bytes of the largest accepted body. Pages need none, and Tornado keeps one whole.
MAX_BODY_BYTES = 64 << 10


class Page(RequestHandler):
    """Base class of the pages about one node."""

    node: Node

    def initialize(self, node: Node) -> None:
        """Set the node that the page describes."""
        self.node = node

    def write_json(self, value: Any) -> None:
        """Answer with indented JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value, indent=2, sort_keys=True) + "\n")


class MetricsPage(Page):
    """All metrics in the Prometheus text format."""

    def get(self) -> None:
        """Answer with the metrics."""
        self.set_header("Content-Type", METRICS_TYPE)
        self.finish(self.node.metrics.page())


class StatusPage(Page):
    """A summary of the node's state."""

    def get(self) -> None:
        """Answer with the node's status."""
        self.write_json(self.node.status())


class ConfigPage(Page):
    """The version of the configuration in force, as published."""

    def get(self) -> None:
        """Answer with the head, the rules and the services."""
        snapshot = self.node.config.current
        if snapshot is None:
            self.set_status(NOT_READY_STATUS)
            self.write_json({"version": 0})
            return
        unstructure = codec.CONVERTER.unstructure
        self.write_json(
            {
                "head": unstructure(snapshot.head),
                "rules": unstructure(snapshot.rules),
                "services": unstructure(snapshot.services),
            }
        )


class ReadyPage(Page):
    """Readiness check: whether the node can serve callers."""

    def get(self) -> None:
        """Answer 200 if the node is ready, else 503."""
        ready = self.node.ready
        if not ready:
            self.set_status(NOT_READY_STATUS)
        self.write_json({"ready": ready})


class LivePage(Page):
    """Liveness check: whether the process answers."""

    def get(self) -> None:
        """Answer 200."""
        self.write_json({"live": True})


class PageReader(HTTPMessageDelegate):
    """Reader of a request for a page, which tells when its head has been read."""

    def __init__(
        self,
        server: AdminHTTPServer,
        connection: HTTP1Connection,
        reader: HTTPMessageDelegate,
    ) -> None:
        self.server = server
        self.connection = connection
        self.reader = reader

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Begin the request; called by Tornado."""
        self.server.connections.begin_call(self.connection.stream)
        return self.reader.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a chunk of the body on; called by Tornado."""
        return self.reader.data_received(chunk)

    def finish(self) -> None:
        """Pass the end of the request on; called by Tornado."""
        self.reader.finish()

    def on_connection_close(self) -> None:
        """Pass the end of the connection on; called by Tornado."""
        self.reader.on_connection_close()


class AdminHTTPServer(LimitedHTTPServer):
    """HTTP server of the admin pages."""

    def start_request(self, server_conn: Any, request_conn: Any) -> HTTPMessageDelegate:
        """Return the reader of the next request; called by Tornado."""
        reader = super().start_request(server_conn, request_conn)
        return PageReader(self, request_conn, reader)


def admin_server(node: Node) -> AdminHTTPServer:
    """Build the server of the admin pages."""
    context = {"node": node}
    return AdminHTTPServer(
        Application(
            [
                ("/metrics", MetricsPage, context),
                ("/status", StatusPage, context),
                ("/config", ConfigPage, context),
                ("/ready", ReadyPage, context),
                ("/live", LivePage, context),
            ],
            log_function=_no_access_log,
        ),
        max_body_size=MAX_BODY_BYTES,
    )


def _no_access_log(_: RequestHandler) -> None:
    return None
