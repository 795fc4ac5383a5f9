"""The control port of a stand-in that runs as a program.

Operators' publishing tools and tests use it; readers of the platform do not,
so that the read side stays read only.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import tornado.web

from sequoiaspoke.errors import StandinError, ValueTooLargeError
from sequoiaspoke.standins.base import Listener

if TYPE_CHECKING:
    from sequoiaspoke.standins.base import Standin
    from sequoiaspoke.standins.platform import PlatformStandin


class Control(Listener):
    """Serve a stand-in's counts, and take its faults and orders."""

    def __init__(self, standin: Standin, port: int) -> None:
        super().__init__(standin.address, port)
        self.standin = standin

    def routes(self) -> list[Any]:
        """Return the control pages."""
        standin = {"standin": self.standin}
        return [
            (r"/(?:calls|runs)", ReportHandler, standin),
            (r"/fault", FaultHandler, standin),
            (r"/do/(\w+)", ActionHandler, standin),
        ]


class PlatformControl(Control):
    """Take documents besides."""

    def routes(self) -> list[Any]:
        """Return the control pages and that for publishing."""
        publishing = (r"/documents/(.+)", PublishHandler, {"standin": self.standin})
        return [*super().routes(), publishing]


class ControlHandler(tornado.web.RequestHandler):
    """What the control pages share."""

    def initialize(self, standin: Standin) -> None:
        """Take the stand-in that is controlled."""
        self.standin = standin

    def refuse(self, status: int, error: Exception) -> None:
        """Answer with what was wrong."""
        self.set_status(status)
        self.finish(f"{error}\n")


class ReportHandler(ControlHandler):
    """GET /calls or /runs: what was counted."""

    def get(self) -> None:
        """Answer with the counts as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.standin.report()))


class FaultHandler(ControlHandler):
    """POST /fault?NAME=VALUE&...: replace faults."""

    def post(self) -> None:
        """Replace the named faults; the others stay."""
        given = {name: self.get_query_argument(name) for name in self.request.arguments}
        try:
            self.standin.change_faults(given)
        except StandinError as error:
            self.refuse(400, error)


class ActionHandler(ControlHandler):
    """POST /do/ACTION: order something that is no lasting fault."""

    def post(self, name: str) -> None:
        """Do it, or answer 404."""
        action = self.standin.actions().get(name)
        if action is None:
            known = ", ".join(self.standin.actions())
            self.refuse(404, StandinError(f"unknown action; allowed: {known}"))
            return
        action()


class PublishHandler(ControlHandler):
    """PUT /documents/NAME: publish one document."""

    standin: PlatformStandin

    def put(self, name: str) -> None:
        """Write the body, or answer 413 beyond the platform's limit."""
        try:
            self.standin.publish({name: self.request.body})
        except ValueTooLargeError as error:
            self.refuse(413, error)
