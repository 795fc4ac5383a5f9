"""Tests of the commands that read declarations, with golden files."""

import contextlib
import io
import json
import os
import shutil
import tempfile
from pathlib import Path

from testtools import TestCase

from sequoiaspoke.__main__ import main
from sequoiaspoke.core.snapshot.codec import decode_head, unpack
from sequoiaspoke.tests.golden import ROOT, assert_golden

REQUESTS = {
    "abay": (
        ("GET", "http://abay.example/fleet/crushers?kind=jaw", "--zone", "akaki"),
        ("POST", "/booking/7", "--header", "idempotency-key=akaki/1"),
        ("POST", "/billing/charges"),
        ("GET", "/hire/m-17/history"),
        ("GET", "/unknown"),
    ),
    "brambilla": (
        ("POST", "/regia/c-9/start", "--header", "idempotency-key=lecco-sala/1"),
        ("POST", "/regia/c-9/start"),
        ("POST", "/cordoglio/orders"),
        ("GET", "/videoteca/c-9/recording.mp4"),
        ("GET", "/"),
    ),
}


def run(*words):
    """Run a command from the repository root; return its status and output."""
    out, err = io.StringIO(), io.StringIO()
    previous = os.getcwd()
    os.chdir(ROOT)
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = main(list(words))
    finally:
        os.chdir(previous)
    return status, out.getvalue() + err.getvalue()


class ExampleTests(TestCase):
    """Commands that an operator runs on the example declarations."""

    def test_check_and_explain(self):
        for name, requests in REQUESTS.items():
            status, text = run("check", f"examples/{name}")
            self.assertEqual(0, status)
            for request in requests:
                status, output = run("explain", f"examples/{name}", *request)
                self.assertEqual(0, status)
                text += f"\n$ explain {' '.join(request)}\n{output}"
            assert_golden(self, f"explain-{name}.txt", text)

    def test_render(self):
        for name in REQUESTS:
            out = tempfile.mkdtemp()
            self.addCleanup(shutil.rmtree, out)
            status, text = run("render", f"examples/{name}", out, "--version", "7")
            self.assertEqual(0, status)
            assert_golden(
                self, f"render-{name}.txt", text + self.readable_documents(Path(out))
            )

    def test_a_version_number_out_of_range_is_refused(self):
        for number in ("0", "-3", str(2**63)):
            status, _ = run("render", "examples/abay", "unused", "--version", number)
            self.assertEqual(2, status)

    def readable_documents(self, out):
        """Return the documents' content, one JSON value per line."""
        head = decode_head((out / "head").read_bytes())
        lines = []
        for part, digest in sorted(head.parts.items()):
            content = unpack((out / "parts" / digest).read_bytes(), digest)
            values = json.loads(content)
            lines.append(f"\n{part} {digest}")
            rows = values if isinstance(values, list) else values["endpoints"]
            lines += [json.dumps(row, sort_keys=True) for row in rows]
        return "\n".join(lines) + "\n"


class DiffTests(TestCase):
    def test_an_edit_of_an_example(self):
        after = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, after)
        rules = Path(ROOT, "examples/abay/10-rules.ini").read_text()
        head, mark, front = rules.partition("[rule front-page]")
        defaults, first, others = head.partition("[rule availability]")
        front, rest, last = (mark + front).partition("[rule rest]")
        others = others.replace("route billing", "route billing 9, ledger 1", 1)
        edited = defaults + front + first + others + rest + last
        Path(after, "10-rules.ini").write_text(edited)
        services = Path(ROOT, "examples/abay/20-services.ini").read_text()
        edited = services.replace("target fleet-4", "target fleet-5")
        Path(after, "20-services.ini").write_text(edited)
        status, text = run("diff", "examples/abay", after)
        self.assertEqual(0, status)
        assert_golden(self, "diff-abay.txt", text)


class FaultyDeclarationsTests(TestCase):
    def test_check_reports_every_error_and_the_exit_code(self):
        status, text = run("check", "sequoiaspoke/tests/golden/faulty")
        self.assertEqual(3, status)
        assert_golden(self, "check-faulty.txt", text)

    def test_a_directory_without_declarations_is_an_error(self):
        self.assertEqual(3, run("check", "no-such-directory")[0])

    def test_a_request_that_cannot_be_parsed_is_an_error(self):
        status, text = run("explain", "examples/abay", "GET", "http://[x/")
        self.assertEqual(2, status, text)
