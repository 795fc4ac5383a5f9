"""Tests of the stand-ins, over real sockets on loopback."""

import asyncio
import json
import tempfile
from pathlib import Path

from testtools import TestCase
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPError,
    HTTPRequest,
    HTTPResponse,
)

from sequoiaspoke.errors import StandinError, ValueTooLargeError
from sequoiaspoke.standins.control import PlatformControl
from sequoiaspoke.standins.directory import DocumentDirectory
from sequoiaspoke.standins.faults import PlatformFaults, UpstreamFaults, change_faults
from sequoiaspoke.standins.platform import PlatformStandin
from sequoiaspoke.standins.rate import RateLimit
from sequoiaspoke.standins.settings import (
    PlatformStandinSettings,
    UpstreamStandinSettings,
)
from sequoiaspoke.standins.upstream import UpstreamStandin


async def ask(url, method="GET", headers=None, body=None):
    """Send one request on a connection of its own; code 599 means no answer."""
    client = AsyncHTTPClient(force_instance=True)
    request = HTTPRequest(
        url, method, headers, body, allow_nonstandard_methods=True, request_timeout=10
    )
    try:
        return await client.fetch(request, raise_error=False)
    except (HTTPError, OSError):
        return HTTPResponse(request, 599)
    finally:
        client.close()


async def begin(standin, path, *header_lines):
    """Open a connection and send a request without waiting for the answer."""
    reader, writer = await asyncio.open_connection(standin.address, standin.port)
    lines = (f"GET {path} HTTP/1.1", "Host: x", *header_lines, "", "")
    writer.write("\r\n".join(lines).encode())
    return reader, writer


async def until(condition):
    """Let the loop turn until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


class StandinTestCase(TestCase):
    def run_with(self, standin, test):
        async def body():
            standin.start()
            try:
                await test(standin)
            finally:
                await standin.stop()

        asyncio.run(body())


class RateLimitTests(TestCase):
    def test_no_window_of_a_second_takes_more_than_the_rate(self):
        limit = RateLimit(3)
        taken = [limit.take(now) for now in (0.0, 0.9, 0.95, 0.99, 1.0, 1.5, 1.91)]
        self.assertEqual([True, True, True, False, True, False, True], taken)


class PlatformStandinTests(StandinTestCase):
    def check(self, test, **settings):
        self.run_with(PlatformStandin(PlatformStandinSettings(**settings)), test)

    def test_a_read_tells_the_revision_that_rises_with_each_write(self):
        async def test(platform):
            platform.publish({"parts/ab": b"1", "head": b"2"})
            platform.publish({"head": b"3"})
            answer = await ask(f"{platform.url}/v1/documents/head")
            self.assertEqual((b"3", "2"), (answer.body, answer.headers["Revision"]))
            answer = await ask(f"{platform.url}/v1/documents/parts/ab")
            self.assertEqual(b"1", answer.body)
            answer = await ask(f"{platform.url}/v1/documents/none")
            self.assertEqual(404, answer.code)
            self.assertEqual(3, platform.calls.reads)
            answer = await ask(f"{platform.url}/v1/documents/head", "PUT", body=b"4")
            self.assertEqual(405, answer.code)

        self.check(test)

    def test_a_watch_answers_with_the_change_and_counts_once(self):
        async def test(platform):
            platform.publish({"head": b"1"})
            url = f"{platform.url}/v1/watch/head"
            self.assertEqual(b"1", (await ask(f"{url}?after=0&wait=9")).body)
            self.assertEqual(204, (await ask(f"{url}?after=1&wait=0.01")).code)
            waiting = asyncio.ensure_future(ask(f"{url}?after=1&wait=9"))
            await until(lambda: platform.calls.waiting == 1)
            platform.publish({"vms": b"other"})
            platform.publish({"head": b"2"})
            self.assertEqual(b"2", (await waiting).body)
            self.assertEqual(3, platform.calls.watches)
            self.assertEqual(3, sum(platform.calls.by_second.values()))
            self.assertEqual(400, (await ask(f"{url}?after=x")).code)
            self.assertEqual(400, (await ask(f"{url}?wait=nan")).code)

        self.check(test)

    def test_calls_beyond_the_rate_are_refused_with_a_time_to_come_back(self):
        async def test(platform):
            platform.publish({"head": b"1"})
            answers = await asyncio.gather(
                *(ask(f"{platform.url}/v1/documents/head") for _ in range(8))
            )
            refused = [each for each in answers if each.code == 429]
            self.assertEqual(3, len(refused))
            self.assertEqual({"1"}, {each.headers["Retry-After"] for each in refused})
            self.assertEqual(5, platform.calls.reads)
            self.assertEqual(3, platform.calls.refused)

        self.check(test, rate=5)

    def test_a_value_beyond_the_limit_is_refused_with_all_its_company(self):
        platform = PlatformStandin(PlatformStandinSettings(value_limit=4))
        documents = {"parts/a": b"1234", "head": b"12345"}
        self.assertRaises(ValueTooLargeError, platform.publish, documents)
        self.assertEqual({}, platform.documents)

    def test_down_answers_503_to_reads_and_to_watches_that_wait(self):
        async def test(platform):
            platform.publish({"head": b"1"})
            url = f"{platform.url}/v1/watch/head?after=1&wait=9"
            waiting = asyncio.ensure_future(ask(url))
            await until(lambda: platform.calls.waiting == 1)
            platform.set_faults(PlatformFaults(down="unavailable"))
            self.assertEqual(503, (await waiting).code)
            answer = await ask(f"{platform.url}/v1/documents/head")
            self.assertEqual((503, "1"), (answer.code, answer.headers["Retry-After"]))
            port = platform.port
            platform.set_faults(PlatformFaults(down="refuse"))
            answer = await ask(f"{platform.url}/v1/documents/head")
            self.assertEqual(599, answer.code)
            platform.set_faults(PlatformFaults())
            self.assertEqual(port, platform.port)
            answer = await ask(f"{platform.url}/v1/documents/head")
            self.assertEqual(b"1", answer.body)

        self.check(test)

    def test_stale_serves_the_kept_moment_to_readers_and_watchers(self):
        async def test(platform):
            platform.publish({"head": b"old"})
            platform.keep()
            platform.publish({"head": b"new"})
            platform.set_faults(PlatformFaults(stale=True))
            answer = await ask(f"{platform.url}/v1/documents/head")
            self.assertEqual(b"old", answer.body)
            url = f"{platform.url}/v1/watch/head?after=1&wait=9"
            waiting = asyncio.ensure_future(ask(url))
            await until(lambda: platform.calls.waiting == 1)
            platform.set_faults(PlatformFaults())
            self.assertEqual(b"new", (await waiting).body)

        self.check(test)

    def test_disorder_lets_a_later_answer_pass_an_earlier_one(self):
        async def test(platform):
            platform.publish({"head": b"0"})
            platform.set_faults(PlatformFaults(disorder=0.2))
            arrived = []

            async def read(number):
                await ask(f"{platform.url}/v1/documents/head")
                arrived.append(number)

            await asyncio.gather(*(read(number) for number in range(8)))
            self.assertNotEqual(sorted(arrived), arrived)

        self.check(test, seed=1)

    def test_a_vm_list_shows_only_after_its_lag(self):
        async def test(platform):
            platform.set_faults(PlatformFaults(vms_lag=0.05))
            platform.publish({"vms": b"1", "head": b"1"})
            self.assertEqual(
                (0, 1), (platform.revision("vms"), platform.revision("head"))
            )
            await until(lambda: platform.revision("vms") == 1)

        self.check(test)

    def test_a_silenced_connection_never_answers_while_a_new_one_does(self):
        async def test(platform):
            platform.publish({"head": b"1"})
            path = "/v1/watch/head?after=1&wait=9"
            reader, writer = await begin(platform, path)
            await until(lambda: platform.calls.waiting == 1)
            platform.silence()
            platform.publish({"head": b"2"})
            self.assertEqual(b"2", (await ask(platform.url + path)).body)
            await platform.stop()
            self.assertEqual(b"", await reader.read())
            writer.close()

        self.check(test)


class ControlTests(StandinTestCase):
    def test_documents_faults_and_counts_go_over_the_control_port(self):
        async def test(platform):
            control = PlatformControl(platform, 0)
            control.start()
            await ask(f"{control.url}/documents/parts/ab", "PUT", body=b"x")
            self.assertEqual(b"x", platform.documents["parts/ab"].data)
            large = await ask(f"{control.url}/documents/head", "PUT", body=b"12345")
            self.assertEqual(413, large.code)
            answer = await ask(f"{control.url}/fault?stale=yes&delay=0.5", "POST")
            self.assertEqual(200, answer.code)
            self.assertEqual(PlatformFaults(stale=True, delay=0.5), platform.faults)
            answer = await ask(f"{control.url}/fault?colour=red", "POST")
            self.assertEqual(400, answer.code)
            self.assertEqual(200, (await ask(f"{control.url}/do/keep", "POST")).code)
            self.assertEqual(404, (await ask(f"{control.url}/do/jump", "POST")).code)
            report = json.loads((await ask(f"{control.url}/calls")).body)
            self.assertEqual({"parts/ab": 1}, report["revisions"])
            await control.stop()

        settings = PlatformStandinSettings(value_limit=4)
        self.run_with(PlatformStandin(settings), test)

    def test_a_fault_that_is_not_allowed_is_named_with_what_is(self):
        error = self.assertRaises(
            StandinError, change_faults, UpstreamFaults(), {"call": "explode"}
        )
        self.assertIn("'explode'; allowed: one of none, break-before", str(error))


class DocumentDirectoryTests(TestCase):
    def test_changed_files_are_published_parts_first_and_the_head_last(self):
        platform = PlatformStandin(PlatformStandinSettings())
        written = []
        platform.write = lambda name, data: written.append((name, data))
        with tempfile.TemporaryDirectory() as path:
            directory = DocumentDirectory(path, platform)
            Path(path, "parts").mkdir()
            for name in ("head", "vms", "parts/zz"):
                Path(path, name).write_bytes(b"1")
            directory.poll()
            directory.poll()
            Path(path, "head").write_bytes(b"2")
            directory.poll()
        names = [name for name, _ in written]
        self.assertEqual(["parts/zz", "vms", "head", "head"], names)
        self.assertEqual(b"2", written[-1][1])


class UpstreamStandinTests(StandinTestCase):
    def check(self, test, **settings):
        settings = {"service_ms": 0.0, "spread": 0.0, **settings}
        self.run_with(UpstreamStandin(UpstreamStandinSettings(**settings)), test)

    def test_each_run_of_a_key_is_counted_so_that_a_doubled_one_shows(self):
        async def test(upstream):
            headers = {"Idempotency-Key": "k"}
            for run in (1, 2):
                answer = await ask(f"{upstream.url}/x", "POST", headers, b"abc")
                described = json.loads(answer.body)
                self.assertEqual((run, 3), (described["run"], described["received"]))
            await ask(f"{upstream.url}/x")
            self.assertEqual({"k": 2}, upstream.runs)
            self.assertEqual(3, upstream.runs_total)

        self.check(test)

    def test_slots_and_queue_are_filled_and_the_rest_shed_as_not_run(self):
        async def test(upstream):
            headers = {"Standin-Service-Ms": "100"}
            answers = await asyncio.gather(
                *(ask(f"{upstream.url}/", headers=headers) for _ in range(8))
            )
            shed = [each for each in answers if each.code == 503]
            self.assertEqual(3, len(shed))
            self.assertEqual(
                {("not-run", "overloaded")},
                {
                    (
                        each.headers["Sequoiaspoke-Ran"],
                        each.headers["Sequoiaspoke-Reason"],
                    )
                    for each in shed
                },
            )
            self.assertEqual((5, 3), (upstream.runs_total, upstream.slots.peak))

        self.check(test, slots=3, queue=2)

    def test_a_call_past_its_deadline_stops_and_says_whether_it_ran(self):
        async def test(upstream):
            headers = {"Sequoiaspoke-Deadline-Ms": "20", "Standin-Service-Ms": "9000"}
            answer = await ask(f"{upstream.url}/", headers=headers)
            self.assertEqual(504, answer.code)
            self.assertEqual("outcome-unknown", answer.headers["Sequoiaspoke-Ran"])
            headers["Sequoiaspoke-Deadline-Ms"] = "0"
            answer = await ask(f"{upstream.url}/", headers=headers)
            self.assertEqual("not-run", answer.headers["Sequoiaspoke-Ran"])
            self.assertEqual((1, 1), (upstream.runs_total, upstream.counts.late))
            self.assertEqual(0, upstream.slots.running)

        self.check(test)

    def test_a_client_that_leaves_stops_its_run_and_frees_the_slot(self):
        async def test(upstream):
            _, writer = await begin(upstream, "/", "Standin-Service-Ms: 9000")
            await until(lambda: upstream.slots.running == 1)
            writer.close()
            await until(lambda: upstream.slots.running == 0)
            self.assertEqual(1, upstream.counts.cancelled)

        self.check(test)

    def test_a_draining_target_refuses_new_work_and_finishes_the_old(self):
        async def test(upstream):
            headers = {"Standin-Service-Ms": "50"}
            asked = asyncio.ensure_future(ask(f"{upstream.url}/", headers=headers))
            await until(lambda: upstream.slots.running == 1)
            upstream.drain()
            health = await ask(f"{upstream.url}/health")
            self.assertEqual(
                (503, b'{"status": "draining"}'), (health.code, health.body)
            )
            answer = await ask(f"{upstream.url}/")
            self.assertEqual("draining", answer.headers["Sequoiaspoke-Reason"])
            self.assertEqual(200, (await asked).code)

        self.check(test)

    def test_health_and_load_mislead_and_lag_on_request(self):
        async def test(upstream):
            upstream.set_faults(UpstreamFaults(report_lag=3600))
            await ask(f"{upstream.url}/health")
            upstream.drain()
            self.assertEqual(200, (await ask(f"{upstream.url}/health")).code)
            upstream.set_faults(UpstreamFaults(health="ok", load=0.25))
            self.assertEqual(200, (await ask(f"{upstream.url}/health")).code)
            told = json.loads((await ask(f"{upstream.url}/load")).body)
            self.assertEqual(0.25, told["load"])

        self.check(test)

    def test_connections_beyond_the_limit_are_closed_at_once(self):
        async def test(upstream):
            opened = [
                await asyncio.open_connection(upstream.address, upstream.port)
                for _ in range(3)
            ]
            self.assertEqual(b"", await opened[2][0].read())
            self.assertEqual(1, upstream.server.refused)
            for _, writer in opened:
                writer.close()
            await until(lambda: upstream.server.open == 0)
            self.assertEqual(200, (await ask(f"{upstream.url}/")).code)

        self.check(test, connections=2)

    def test_a_cold_target_is_slower(self):
        async def test(upstream):
            self.assertTrue(upstream.cold)
            self.assertEqual(0.04, upstream.service_time(None))

        self.check(test, cold_s=3600, service_ms=10.0)

    def test_answers_break_end_early_or_never_come_on_request(self):
        async def test(upstream):
            faults = {
                "break-before": (599, 0),
                "break-within": (599, 0),
                "break-after": (599, 1),
                "truncate": (599, 1),
            }
            for name, expected in faults.items():
                upstream.runs.clear()
                headers = {"Standin-Fault": name, "Idempotency-Key": "k"}
                answer = await ask(f"{upstream.url}/", "POST", headers, b"body")
                self.assertEqual(expected, (answer.code, upstream.runs["k"]), name)
            lines = ("Standin-Fault: silent-after", "Idempotency-Key: s")
            reader, writer = await begin(upstream, "/", *lines)
            await until(lambda: upstream.runs["s"] == 1)
            self.assertEqual(200, (await ask(f"{upstream.url}/")).code)
            await upstream.stop()
            self.assertEqual(b"", await reader.read())
            writer.close()

        self.check(test)

    def test_large_bodies_stream_both_ways(self):
        async def test(upstream):
            size = 3_000_001
            for query in ("", "&chunked=1"):
                answer = await ask(f"{upstream.url}/bytes?n={size}{query}")
                self.assertEqual(size, len(answer.body))
            answer = await ask(f"{upstream.url}/", "PUT", body=answer.body)
            self.assertEqual(size, json.loads(answer.body)["received"])
            headers = {"Standin-Fault": "truncate"}
            answer = await ask(
                f"{upstream.url}/bytes?n={size}&chunked=1", "GET", headers
            )
            self.assertEqual(599, answer.code)

        self.check(test)
