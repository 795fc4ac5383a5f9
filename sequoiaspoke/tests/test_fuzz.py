"""Random input at every place that reads what comes from outside.

Whatever comes in, only the program's own types may escape: any other exception
would end a node's loop task or a command with a traceback, and the fleet would
stand still without a reason to show. `make fuzz` runs the same for longer with
fresh seeds.
"""

import asyncio
import contextlib
import json
import logging
import os
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger
from testtools import TestCase
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from sequoiaspoke.core.rules.matcher import compile_rules
from sequoiaspoke.core.rules.parse import parse_declarations
from sequoiaspoke.core.rules.request import make_request_head
from sequoiaspoke.core.rules.validate import validate
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import Head, Vm, VmList
from sequoiaspoke.errors import DeclarationsError, DocumentError, SettingsError
from sequoiaspoke.node.entry import read_request
from sequoiaspoke.node.server import CallHandler, CallServer
from sequoiaspoke.settings.load import parse_settings
from sequoiaspoke.settings.schema import LimitSettings
from sequoiaspoke.tests.rule_strategies import rule_lists

FUZZ_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
FUZZ = settings(
    derandomize=not FUZZ_EXAMPLES,
    deadline=None,
    max_examples=FUZZ_EXAMPLES or 100,
    database=None,
)
INI_PIECES = st.one_of(
    st.sampled_from(
        [
            "[rule a]",
            "[service s]",
            "[defaults]",
            "[node]",
            "[",
            "[]",
            "when = always",
            "when = path prefix /a; header x = ",
            "when =\n  method GET\n  path exact",
            "then = route s 1, t",
            "then = refuse 403 a b",
            "then = redirect 99999999999 /",
            'when = header "a" = "',
            "timeout = 1e999",
            "attempts = " + "9" * 5000,
            "target t = vm=v zone=z address=10.0.0.1 mesh_port=1",
            "target t = = =",
            "name = \ud800",
            "call_port = \u0663",
            "= x",
            "%(a)s = ${b}",
            "\0",
            "  indented",
            "#",
            ";",
        ]
    ),
    st.text(max_size=20),
)
HEADERS = ["[rule a]", "[service s]", "[defaults]", "[node]", "[upstream]", ""]
INI_TEXT = st.builds(
    lambda header, pieces: "\n".join((header, *pieces)),
    st.sampled_from(HEADERS),
    st.lists(INI_PIECES, max_size=12),
)
NUMBERS = st.one_of(
    st.integers(), st.floats(), st.sampled_from([10**4000, -(10**400), 2**64])
)
JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=12,
)
DECODERS = (
    codec.decode_head,
    codec.decode_rules,
    codec.decode_service,
    codec.decode_vms,
)
BOMB_BYTES = 64_000_000  # inflated size, far over what a part may hold


def decode_with_all(data):
    """Decode bytes as every document; return what came of it."""
    decoded = []
    for decode in DECODERS:
        with contextlib.suppress(DocumentError):
            decoded.append(decode(data))
    return decoded


def replace_one(value, path, new):
    """Return JSON with the value that a random path leads to replaced."""
    if not path or not isinstance(value, (dict, list)) or not value:
        return new
    keys = sorted(value) if isinstance(value, dict) else range(len(value))
    key = keys[path[0] % len(keys)]
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[key] = replace_one(value[key], path[1:], new)
    return copy


class TextFuzzTests(TestCase):
    @FUZZ
    @given(INI_TEXT)
    def test_declarations(self, text):
        with contextlib.suppress(DeclarationsError):
            declared = parse_declarations({"a.ini": text, "b.ini": text[::-1]})
            str(validate(declared.rules, declared.services))

    @FUZZ
    @given(INI_TEXT)
    def test_settings(self, text):
        with contextlib.suppress(SettingsError):
            parse_settings(text)

    @FUZZ
    @given(st.text(), st.text(), st.text(), st.lists(st.tuples(st.text(), st.text())))
    def test_request_heads(self, method, target, host, headers):
        head = make_request_head(method, target, host, headers)
        compile_rules(()).decide(head)


class DocumentFuzzTests(TestCase):
    @FUZZ
    @given(st.one_of(st.binary(max_size=64), JSON.map(json.dumps).map(str.encode)))
    def test_any_bytes(self, data):
        decode_with_all(data)
        with contextlib.suppress(DocumentError):
            codec.unpack(data, codec.digest_of(data))

    @FUZZ
    @given(rule_lists(max_size=3), st.lists(st.integers(0, 9), max_size=6), JSON)
    def test_documents_with_one_value_replaced(self, rules, path, new):
        vms = VmList(1, (Vm("v", "z", "10.0.0.1", 1, 2),))
        for whole in (
            codec.encode_rules(rules),
            codec.encode_head(Head(1, {"rules": "ab"})),
            codec.encode_json(vms),
        ):
            changed = replace_one(json.loads(whole), path, new)
            for decoded in decode_with_all(json.dumps(changed).encode()):
                if isinstance(decoded, tuple):
                    str(validate(decoded, ()))
                    compile_rules(decoded)


class HostileDocumentTests(TestCase):
    """A document is built to exhaust the node that reads it.

    Deep nesting ends an unguarded parser, a small part may inflate to
    gigabytes, and numbers of thousands of digits cost time to print. A node
    that fell to one would fall again at each start, with its whole fleet.
    """

    def test_deep_nesting_and_long_numbers_are_refused(self):
        for data in (
            b"[" * 1_000_000,
            b'{"a":' * 100_000,
            b'{"version":' + b"9" * 100_000 + b',"parts":{}}',
            b'{"version":1e999,"parts":{}}',
            b'{"version":NaN,"parts":{}}',
            b'"\xff\xfe"',
            b'{"version":1,"parts":{"a":"\\ud800"}}',
        ):
            for decoded in decode_with_all(data):
                self.assertIsInstance(decoded, Head)

    def test_a_part_that_inflates_without_end_is_refused(self):
        bomb = zlib.compress(bytes(BOMB_BYTES), 9)
        self.assertRaises(DocumentError, codec.unpack, bomb, "00")


HTTP_PIECES = st.one_of(
    st.sampled_from(
        [
            b"GET /a HTTP/1.1\r\n",
            b"POST /%zz?%ff=1&&= HTTP/1.1\r\n",
            b"get  HTTP/9.9\r\n",
            b"Host: a\r\n",
            b"Host: b:99999999\r\n",
            b"Content-Length: 3\r\n",
            b"Content-Length: 3,4\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: " + b"9" * 5000 + b"\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked, gzip\r\n",
            b"Expect: 100-continue\r\n",
            b"X: \xff\x00\r\n",
            b" folded\r\n",
            b": empty\r\n",
            b"\r\n",
            b"\n",
            b"3\r\nabc\r\n",
            b"0\r\n\r\n",
            b"ffffffffffffffff\r\n",
            b"-1\r\n",
        ]
    ),
    st.binary(max_size=12),
)
HTTP_BYTES = st.lists(HTTP_PIECES, max_size=10).map(b"".join)
ANSWER_LIMIT = 5.0  # seconds; far over what loopback takes


class EchoHandler(CallHandler):
    """Reads a request as an entry does, body included, and answers."""

    async def handle(self, call):
        read_request(call, "z")
        while call.body and await call.body.get():
            pass
        call.writer.write_complete(200, HTTPHeaders(), b"whole")


async def exchange(server, data):
    """Send bytes to a call server, end the sending, and return its answers."""
    (sock,) = bind_sockets(0, "127.0.0.1")
    server.server.add_sockets([sock])
    reader, writer = await asyncio.open_connection(*sock.getsockname())
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(ANSWER_LIMIT):
            return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()
        server.server.stop()
        await server.server.close_all_connections()


class HttpFuzzTests(TestCase):
    @FUZZ
    @given(HTTP_BYTES)
    def test_heads_and_bodies(self, data):
        faults = []
        sink = logger.add(faults.append, level="ERROR")
        library_log = logging.getLogger("tornado.application")
        library_log.addFilter(faults.append)
        limits = LimitSettings(head_bytes=4096, body_bytes=4096)
        server = CallServer(EchoHandler(), limits)

        async def run():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: faults.append(context))
            return await exchange(server, data)

        try:
            answer = asyncio.run(run())
        finally:
            logger.remove(sink)
            library_log.removeFilter(faults.append)
        self.assertEqual([], faults)
        self.assertTrue(answer == b"" or answer.startswith(b"HTTP/1.1 "), answer)
        self.assertEqual(0, server.in_flight)
