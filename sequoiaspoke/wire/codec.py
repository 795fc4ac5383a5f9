"""Encode and decode messages between nodes in thrift's compact protocol."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from sequoiaspoke.core.idempotency import messages as vouching
from sequoiaspoke.core.idempotency.epoch import Epoch
from sequoiaspoke.core.spread import messages
from sequoiaspoke.errors import MessageError
from sequoiaspoke.wire.gen import PeerLink, ttypes

STRING_LIMIT = 4 << 20  # bytes of one string or binary
CONTAINER_LIMIT = 100_000  # entries of one list or map
DIGEST_FIELDS = frozenset({"root", "refused_root", "base_root", "digest"})
DIGEST_MAPS = frozenset({"changed", "digests"})


@dataclass(frozen=True)
class Method:
    """A method of the thrift service and its message classes."""

    name: str
    question: type
    answer: type | None
    kind: int = TMessageType.CALL


METHODS = (
    Method("greet", messages.Hello, messages.Welcome),
    Method("beat", messages.Beat, messages.BeatAnswer),
    Method("announce", messages.Announcement, None, TMessageType.ONEWAY),
    Method("fetch_head", messages.HeadQuestion, messages.HeadAnswer),
    Method("fetch_parts", messages.PartsQuestion, messages.PartsAnswer),
    Method("fetch_vms", messages.VmsQuestion, messages.VmsAnswer),
    Method("vouch", vouching.Question, vouching.Answer),
)
BY_NAME = {method.name: method for method in METHODS}
BY_QUESTION = {method.question: method for method in METHODS}
BY_ANSWER = {method.answer: method for method in METHODS if method.answer}
# On the wire a heartbeat is only its status, without an enclosing struct.
STATUS_ONLY = {messages.Beat: messages.Status, messages.BeatAnswer: messages.Status}
STRUCTS = {
    messages.Status: ttypes.Status,
    messages.Hello: ttypes.Hello,
    messages.Welcome: ttypes.Hello,
    messages.HeadDelta: ttypes.HeadDelta,
    messages.Announcement: ttypes.Announcement,
    messages.HeadQuestion: ttypes.HeadQuestion,
    messages.HeadAnswer: ttypes.HeadAnswer,
    messages.PartsQuestion: ttypes.PartsQuestion,
    messages.Part: ttypes.Part,
    messages.PartsAnswer: ttypes.PartsAnswer,
    messages.VmsQuestion: ttypes.VmsQuestion,
    messages.VmsAnswer: ttypes.VmsAnswer,
    Epoch: ttypes.Epoch,
    vouching.Question: ttypes.VouchQuestion,
    vouching.Answer: ttypes.VouchAnswer,
}
NESTED = {
    (messages.Hello, "status"): messages.Status,
    (messages.Welcome, "status"): messages.Status,
    (messages.Announcement, "delta"): messages.HeadDelta,
    (messages.HeadAnswer, "delta"): messages.HeadDelta,
    (messages.PartsAnswer, "parts"): messages.Part,
    **{
        (message, name): Epoch
        for message in (vouching.Question, vouching.Answer)
        for name in ("targets", "members", "holder")
    },
}
# Defaults of fields; one that holds its default may be left out, see the service.
DEFAULTS = {
    cls: {
        field.name: field.default_factory()
        if field.default_factory is not dataclasses.MISSING
        else field.default
        for field in dataclasses.fields(cls)
    }
    for cls in STRUCTS
}


def encode_message(number: int, message: Any) -> bytes:
    """Encode a message as the payload of one frame."""
    method = BY_QUESTION.get(type(message))
    kind = method.kind if method else TMessageType.REPLY
    body = _body(message, method)
    buffer = TMemoryBuffer()
    protocol = TCompactProtocol(buffer)
    protocol.writeMessageBegin((method or BY_ANSWER[type(message)]).name, kind, number)
    body.write(protocol)
    protocol.writeMessageEnd()
    return buffer.getvalue()


def _body(message: Any, method: Method | None) -> Any:
    inner = message.status if type(message) in STATUS_ONLY else message
    struct = to_struct(inner)
    if method:
        return getattr(PeerLink, f"{method.name}_args")(question=struct)
    answered = BY_ANSWER[type(message)]
    return getattr(PeerLink, f"{answered.name}_result")(success=struct)


def decode_message(payload: bytes) -> tuple[int, Any]:
    """Decode the payload of a frame into its number and message.

    Raises
    ------
    MessageError
        The bytes are not a valid message of the service.
    """
    try:
        return _decode(payload)
    except MessageError:
        raise
    # For malformed bytes the thrift library raises errors of many types: its own, of
    # struct, or of text decoding. All mean that the payload is invalid.
    except Exception as error:
        raise MessageError(f"malformed: {error!r}") from error


def _decode(payload: bytes) -> tuple[int, Any]:
    protocol = TCompactProtocol(TMemoryBuffer(payload), STRING_LIMIT, CONTAINER_LIMIT)
    name, kind, number = protocol.readMessageBegin()
    method = BY_NAME.get(name)
    if method is None:
        raise MessageError(f"unknown message {name[:40]!r}")
    if kind == method.kind:
        return number, _read(protocol, method.question, f"{name}_args", "question")
    if kind == TMessageType.REPLY and method.answer:
        return number, _read(protocol, method.answer, f"{name}_result", "success")
    raise MessageError(f"unexpected kind {kind} of {name!r}")


def _read(protocol: TCompactProtocol, cls: type, args: str, field: str) -> Any:
    struct = getattr(PeerLink, args)()
    struct.read(protocol)
    protocol.readMessageEnd()
    body = getattr(struct, field)
    if body is None:
        raise MessageError(f"{args} is empty")
    status_class = STATUS_ONLY.get(cls)
    return (
        cls(from_struct(status_class, body)) if status_class else from_struct(cls, body)
    )


def to_struct(message: Any) -> Any:
    """Convert a message to its generated struct, without fields at their default."""
    cls = type(message)
    values = {}
    for name, default in DEFAULTS[cls].items():
        value = getattr(message, name)
        if value is None or (value == default and default is not dataclasses.MISSING):
            continue
        values[name] = _to_wire(cls, name, value)
    return STRUCTS[cls](**values)


def _to_wire(cls: type, name: str, value: Any) -> Any:
    if (cls, name) in NESTED:
        many = isinstance(value, tuple)
        return [to_struct(one) for one in value] if many else to_struct(value)
    if name in DIGEST_FIELDS:
        return bytes.fromhex(value)
    if cls is messages.PartsQuestion:
        return [bytes.fromhex(digest) for digest in value]
    if name in DIGEST_MAPS:
        return {part: bytes.fromhex(digest) for part, digest in value.items()}
    return list(value) if isinstance(value, tuple) else value


def from_struct(cls: type, struct: Any) -> Any:
    """Convert a generated struct to a message of the given class.

    Raises
    ------
    MessageError
        A field without a default is missing.
    """
    values = {}
    for name, default in DEFAULTS[cls].items():
        value = getattr(struct, name)
        if value is not None:
            values[name] = _from_wire(cls, name, value)
        elif default is dataclasses.MISSING:
            raise MessageError(f"{cls.__name__} lacks {name}")
    return cls(**values)


def _from_wire(cls: type, name: str, value: Any) -> Any:
    nested = NESTED.get((cls, name))
    if nested and isinstance(value, list):
        return tuple(from_struct(nested, one) for one in value)
    if nested:
        return from_struct(nested, value)
    if name in DIGEST_FIELDS:
        return value.hex()
    if cls is messages.PartsQuestion:
        return tuple(digest.hex() for digest in value)
    if name in DIGEST_MAPS:
        return {part: digest.hex() for part, digest in value.items()}
    return tuple(value) if isinstance(value, list) else value
