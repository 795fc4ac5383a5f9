"""Log output: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from sequoiaspoke.settings.schema import LogSettings

PLAIN = set("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,")


def configure_logs(settings: LogSettings) -> None:
    """Log to standard error at the configured level."""
    logger.remove()
    logger.add(sys.stderr, level=settings.level, format=format_line, enqueue=False)


def format_line(record: Any) -> str:
    """Return the formatted line of a record, escaped for loguru."""
    when = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z")
    pairs = [("time", when), ("level", record["level"].name.lower())]
    pairs.append(("event", record["message"]))
    pairs += record["extra"].items()
    if record["exception"] is not None:
        pairs.append(("exception", repr(record["exception"].value)))
    line = " ".join(f"{key}={quote(value)}" for key, value in pairs)
    # loguru formats the returned text once more and expands its color tags.
    return line.replace("{", "{{").replace("}", "}}").replace("<", r"\<") + "\n"


def quote(value: object) -> str:
    """Quote a value as JSON unless all its characters are plain.

    Spaces and line breaks in a value would otherwise make the line ambiguous.
    """
    text = str(value)
    if text and set(text) <= PLAIN:
        return text
    return json.dumps(text, ensure_ascii=False)
