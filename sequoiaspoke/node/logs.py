"""One line of key=value pairs for each event."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from sequoiaspoke.settings.schema import LogSettings

PLAIN = set("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,")


def configure_logs(settings: LogSettings) -> None:
    """Send the log to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=settings.level, format=format_line, enqueue=False)


def format_line(record: Any) -> str:
    """Return the format of one record, its values already quoted."""
    when = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z")
    pairs = [("time", when), ("level", record["level"].name.lower())]
    pairs.append(("event", record["message"]))
    pairs += record["extra"].items()
    if record["exception"] is not None:
        pairs.append(("exception", repr(record["exception"].value)))
    line = " ".join(f"{key}={quote(value)}" for key, value in pairs)
    # The library formats what is returned here once more.
    return line.replace("{", "{{").replace("}", "}}").replace("<", r"\<") + "\n"


def quote(value: object) -> str:
    """Return a value so that a line never splits at the wrong place."""
    text = str(value)
    if text and set(text) <= PLAIN:
        return text
    return json.dumps(text, ensure_ascii=False)
