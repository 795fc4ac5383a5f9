"""Every failure of the program, as a type with a stable code."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar


class Ran(Enum):
    """Whether a call reached the code behind its upstream."""

    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    RAN = "ran"


class SequoiaspokeError(Exception):
    """Base of every error the program raises on purpose."""

    code: ClassVar[str] = "internal"
    exit_code: ClassVar[int] = 1


@dataclass(frozen=True)
class Problem:
    """One thing wrong in an input, and where."""

    message: str
    file: str = ""
    line: int = 0
    section: str = ""
    key: str = ""
    warning: bool = False

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        names = ".".join(part for part in (self.section, self.key) if part)
        kind = "warning" if self.warning else "error"
        return ": ".join(part for part in (place, kind, names, self.message) if part)


class ProblemsError(SequoiaspokeError):
    """Base of errors that report every problem of an input at once."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class SettingsError(ProblemsError):
    """A settings file cannot be used."""

    code = "settings-invalid"
    exit_code = 2


class DeclarationsError(ProblemsError):
    """The declarations of rules and services cannot be used."""

    code = "declarations-invalid"
    exit_code = 3


class RequestTextError(SequoiaspokeError):
    """A request on the command line cannot be read."""

    code = "request-text-invalid"
    exit_code = 2


class DocumentError(SequoiaspokeError):
    """A published document cannot be decoded or fails its digest."""

    code = "document-invalid"
    exit_code = 4


class PlatformError(SequoiaspokeError):
    """The platform answers with a failure."""

    code = "platform-failed"


class MessageError(SequoiaspokeError):
    """A message on the peer link breaks the protocol or a limit."""

    code = "message-invalid"


class VersionRefusedError(ProblemsError):
    """A published version is refused whole; the one in force stays."""

    code = "version-refused"
    exit_code = 4


class AddressInUseError(SequoiaspokeError):
    """A listening address of the settings cannot be bound."""

    code = "address-in-use"
    exit_code = 5


class NotConvergedError(SequoiaspokeError):
    """Some nodes did not reach the awaited version in time."""

    code = "not-converged"
    exit_code = 6


class NodeUnreachableError(SequoiaspokeError):
    """A node's operators' pages do not answer, or not as a node's do."""

    code = "node-unreachable"
    exit_code = 7


class CallError(SequoiaspokeError):
    """A call got no answer from its upstream; says whether it ran.

    Parameters
    ----------
    detail : str
        What happened, for the log and the answer's body.
    retry_after : float or None
        Seconds after which another try is worth it.

    Attributes
    ----------
    retried : bool
        Whether a node has already tried the call more than once.
    remote : bool
        Whether another node reported it.
    """

    code = "call-failed"
    status: ClassVar[int] = 502
    ran: ClassVar[Ran] = Ran.OUTCOME_UNKNOWN

    def __init__(self, detail: str = "", retry_after: float | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail
        self.retry_after = retry_after
        self.retried = False
        self.remote = False
        # Whether the home of the call's key vouches that it never runs.
        self.settled = False


class NotRunError(CallError):
    """Base of failures in which the call was certainly not run."""

    code = "not-run"
    status = 503
    ran = Ran.NOT_RUN


class OutcomeUnknownError(CallError):
    """Base of failures in which the call may have run."""

    code = "outcome-unknown"
    status = 502
    ran = Ran.OUTCOME_UNKNOWN


class NoRuleError(NotRunError):
    """No rule in force matches the request."""

    code = "no-rule"
    status = 404


class RefusedByRuleError(NotRunError):
    """A rule in force refuses the request."""

    code = "refused-by-rule"
    status = 403


class NotReadyError(NotRunError):
    """The node holds no accepted version yet."""

    code = "not-ready"


class NoTargetError(NotRunError):
    """No target of the service may take the call now."""

    code = "no-target"


class OverloadedError(NotRunError):
    """The target's limit and queue are full."""

    code = "overloaded"


class DrainingError(NotRunError):
    """The target or its node is leaving and takes no new work."""

    code = "draining"


class DeadlineNotRunError(NotRunError):
    """The deadline passed before the call was handed over."""

    code = "deadline-before-run"
    status = 504


class DeadlineUnknownError(OutcomeUnknownError):
    """The deadline passed after the call was handed over."""

    code = "deadline-after-hand-over"
    status = 504


class UpstreamShedError(NotRunError):
    """The upstream itself answered that it did not run the call."""

    code = "upstream-shed"


class UpstreamUnsureError(OutcomeUnknownError):
    """The upstream itself answered that it may have run the call."""

    code = "upstream-unsure"


class ConnectError(NotRunError):
    """No connection could be opened, so nothing was sent."""

    code = "connect-failed"


class ConnectionLostError(OutcomeUnknownError):
    """The connection broke after the first byte of the call went out."""

    code = "connection-lost"


class NodeStoppedError(OutcomeUnknownError):
    """The node stopped while the call was in flight."""

    code = "node-stopped"


class TruncatedAnswerError(OutcomeUnknownError):
    """The answer ended before its announced length or last chunk."""

    code = "answer-truncated"


class InvalidStatusError(OutcomeUnknownError):
    """The status of the answer is none of HTTP, or upgrades without being asked."""

    code = "answer-status-invalid"


class BadRequestError(NotRunError):
    """The request breaks HTTP or a limit of the node."""

    code = "bad-request"
    status = 400


class RequestTooLargeError(NotRunError):
    """The request's head or body is larger than the node accepts."""

    code = "request-too-large"
    status = 413


class TooDeepError(NotRunError):
    """The call passed through more nodes than the depth limit allows."""

    code = "too-deep"
    status = 508


class WrongHomeError(NotRunError):
    """The node is not the home of the target or the key it was asked for."""

    code = "wrong-home"


class InvalidKeyError(NotRunError):
    """The `Idempotency-Key` has a form that no target can run."""

    code = "key-invalid"
    status = 400


class KeyFromFutureError(NotRunError):
    """The key was minted later than the clock margin allows."""

    code = "key-from-future"
    status = 400


class WindowClosedError(NotRunError):
    """Too few witnesses vouch that this node may run new keys now."""

    code = "window-closed"


class LedgerFullError(NotRunError):
    """The ledger has no room for another key."""

    code = "ledger-full"


class KeyRefusedError(NotRunError):
    """The key was refused before, so it is never run."""

    code = "key-refused"


class KeyTooOldError(OutcomeUnknownError):
    """The key may have been run before this process could know of it."""

    code = "key-too-old"
    status = 409


class IssuerGoneError(OutcomeUnknownError):
    """The process that issued the key is gone, and what it ran with it."""

    code = "issuer-gone"
    status = 409


class KeyOutcomeUnknownError(OutcomeUnknownError):
    """An earlier attempt with the key broke off after it was handed over."""

    code = "key-outcome-unknown"
    status = 409


class KeyReusedError(OutcomeUnknownError):
    """The key belongs to another call, with another path or body."""

    code = "key-reused"
    status = 422


class AnswerNotKeptError(CallError):
    """The call ran, but its answer was too large to keep for a repeat."""

    code = "answer-not-kept"
    status = 410
    ran = Ran.RAN


class UnknownServiceError(NotRunError):
    """The rules of this node route to a service it does not have."""

    code = "unknown-service"


class RemoteError(CallError):
    """A failure that another node reported."""

    code = "remote"

    def __init__(
        self,
        code: str,
        status: int,
        ran: Ran,
        detail: str = "",
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail or code, retry_after)
        self.code = code  # type: ignore[misc]
        self.status = status  # type: ignore[misc]
        self.ran = ran  # type: ignore[misc]


class MeasureError(SequoiaspokeError):
    """A measurement cannot be made as asked."""

    code = "measure-failed"
    exit_code = 8


class ValueTooLargeError(SequoiaspokeError):
    """A document is larger than the platform holds."""

    code = "value-too-large"


class NotSuspectedError(SequoiaspokeError):
    """No node asked suspects a request of this fingerprint."""

    code = "not-suspected"
    exit_code = 9


class StandinError(SequoiaspokeError):
    """A stand-in was asked for something it does not know."""

    code = "standin-refused"
    exit_code = 2


def reported_error(
    code: str, status: int, ran: Ran, detail: str, retry_after: float | None
) -> CallError:
    """Return the failure that another node reported, with its own type if known.

    What the other node says of `ran` is kept even where the type would say
    otherwise: only that node knows how far the call had come.
    """
    known = CALL_ERRORS.get(code)
    if known is None or known.ran is not ran:
        return RemoteError(code, status, ran, detail, retry_after)
    return known(detail, retry_after)


def _call_errors(base: type[CallError]) -> dict[str, type[CallError]]:
    found = {base.code: base}
    for subclass in base.__subclasses__():
        if subclass is not RemoteError:
            found |= _call_errors(subclass)
    return found


CALL_ERRORS = _call_errors(CallError)
