"""Tests of request targets in absolute form (RFC 9112, 3.2.2)."""

from testtools import TestCase

from sequoiaspoke.core.mesh.model import MeshConfig, Route
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.errors import BadRequestError
from sequoiaspoke.requesttarget import split_absolute
from sequoiaspoke.sidecar.httptext import encode_request
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

MALFORMED = (
    "http://",
    "http:///a",
    "http://?a",
    "http://:80/a",
    "http://user@x/a",
    "http://user:secret@x/a",
    "http://x:port/a",
    "http://x:80:80/a",
    "http://::1/a",
    "http://[::1/a",
    "http://[]/a",
    "http://[::1]a/a",
    "http://x y/a",
    "http://x#a",
    "http://x\\a",
)


class SplitTests(TestCase):
    def test_other_forms_are_not_split(self):
        for target in ("/", "/a?b=http://x/", "//x/a", "*", "x:80", "", "https://x/"):
            self.assertIsNone(split_absolute(target))

    def test_path_and_query_are_kept_as_they_are(self):
        for rest in (
            "/",
            "/a/../b//c/.",
            "/%2F%41%zz?a=%20&b=@:/?#",
            "/a;b=c",
            "/user@x",
            "/\xe4",
        ):
            self.assertEqual(split_absolute("http://x" + rest), ("x", rest))

    def test_an_empty_path_is_the_root(self):
        self.assertEqual(split_absolute("http://x"), ("x", "/"))
        self.assertEqual(split_absolute("http://x?a=/b"), ("x", "/?a=/b"))

    def test_the_authority_is_the_host(self):
        for host in ("X.Example", "x:8080", "x:", "10.0.0.1:1", "[::1]", "[fe80::1]:8"):
            self.assertEqual(split_absolute(f"HTTP://{host}/a"), (host, "/a"))

    def test_a_malformed_authority_is_refused(self):
        for target in MALFORMED:
            self.assertRaises(BadRequestError, split_absolute, target)


class SidecarTests(CallerServerTestCase):
    """Guards against 404 for a route that exists, as its target has another form."""

    def served(self, head):
        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(head.encode() + b"Connection: close\r\n\r\n")
            self.answer = await reader.read()

        self.play(scenario)
        return self.handler.begun

    def test_the_target_gives_host_and_path(self):
        head = "GET http://x.example:80/fleet/1?a=%2F HTTP/1.1\r\nHost: other\r\n"
        (request,) = self.served(head + "X-A: 1\r\nHOST: third\r\n")
        self.assertEqual(request.target, "/fleet/1?a=%2F")
        hosts = [value for name, value in request.headers if name.lower() == "host"]
        self.assertEqual(hosts, ["x.example:80"])
        self.assertEqual(request.header("x-a"), "1")
        split = (WeightedService("fleet"),)
        route = Route("fleet", "x.example", "/fleet/", True, 5.0, 1.0, 1, 2, split)
        table = RouteTable(MeshConfig(1, (route,), {}))
        self.assertIs(table.match(request.header("host"), request.target), route)
        line = encode_request(request, ())[0].partition(b"\r\n")[0]
        self.assertEqual(line, b"GET /fleet/1?a=%2F HTTP/1.1")

    def test_a_target_in_origin_form_is_unchanged(self):
        head = "GET /a?b=http://y/c HTTP/1.1\r\nX-A: 1\r\nHost: x\r\n"
        (request,) = self.served(head)
        self.assertEqual(request.target, "/a?b=http://y/c")
        self.assertEqual(request.headers[:2], (("X-A", "1"), ("Host", "x")))

    def test_an_upgrade_that_is_ignored_keeps_the_target(self):
        head = "GET http://x/a HTTP/1.1\r\nHost: y\r\nUpgrade: z\r\n"
        head += "Connection: upgrade\r\n\r\nGET /b HTTP/1.1\r\nHost: z\r\n"
        parts = [(each.target, each.header("host")) for each in self.served(head)]
        self.assertEqual(parts, [("/a", "x"), ("/b", "z")])

    def test_a_body_follows_its_own_head(self):
        head = "POST http://x/a HTTP/1.1\r\nHost: y\r\nContent-Length: 2\r\n\r\nok"
        requests = self.served(head + "GET /b HTTP/1.1\r\nHost: z\r\n")
        parts = [(each.target, each.header("host"), each.body) for each in requests]
        self.assertEqual(parts, [("/a", "x", b"ok"), ("/b", "z", b"")])

    def test_a_malformed_target_is_answered_with_400(self):
        for target in MALFORMED:
            begun = self.served(f"GET {target} HTTP/1.1\r\nHost: x\r\n")
            self.assertEqual((begun, self.answer[9:12]), ([], b"400"), target)
