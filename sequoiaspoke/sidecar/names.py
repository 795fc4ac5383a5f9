"""Names of the HTTP headers that a sidecar reads and sets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """The configured header names, in lower case.

    Attributes
    ----------
    call_id : str
        Id of one attempt of a caller; upstreams echo it.
    time_left : str
        Milliseconds for which the caller still waits.
    instance : str
        Instance for which the call is meant, sent to the upstream.
    caller_service : str
        Service of the caller, sent to the upstream; set only by the entry.
    stamp : str
        Marks an answer as coming from the upstream itself.
    not_run : str
        Marks an answer of an upstream that did not run the call.
    load : str
        Number of calls that the upstream runs and queues, and of its slots.
    cold : str
        Milliseconds for which the upstream stays cold, sent with a health answer.
    health_instance : str
        Instance that answers a health check.
    rate_limit : str
        Calls per second that the upstream takes from all nodes together; any prefix
        may stand before the name.
    leaving : str
        Marks an answer of an upstream that is about to stop; as for `rate_limit`.
    """

    call_id: str = "x-request-id"
    time_left: str = "x-time-left-ms"
    instance: str = "x-instance"
    caller_service: str = "x-caller-service"
    stamp: str = "x-upstream-stamp"
    not_run: str = "x-not-run"
    load: str = "x-upstream-load"
    cold: str = "x-upstream-cold-ms"
    health_instance: str = "x-instance-id"
    rate_limit: str = "upstream-rate-limit"
    leaving: str = "upstream-leaving"
