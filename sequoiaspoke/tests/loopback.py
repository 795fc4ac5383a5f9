"""Nodes, upstreams and raw HTTP callers on loopback for tests over sockets."""

import asyncio

from testtools import TestCase

from sequoiaspoke.core.rules.parse import parse_declarations
from sequoiaspoke.demo.deployment import Deployment
from sequoiaspoke.settings.schema import LimitSettings

WAIT = 10.0  # seconds; only a failing test waits so long
DRAIN = 0.05  # seconds
# A test process may stall for a second under load; a connect must not time out then.
PATIENT = LimitSettings(connect=WAIT)


def rules(text):
    return parse_declarations({"rules": text}).rules


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT):
        while not condition():
            await asyncio.sleep(0.002)


async def raw(port, data):
    """Send bytes; return everything received until the server closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        async with asyncio.timeout(WAIT):
            return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def request(method, path, *lines, body=b""):
    """Return the bytes of a request that closes its connection."""
    head = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close", *lines]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


def status(answer):
    return int(answer.split(b" ", 2)[1]) if answer else 0


def header(answer, name):
    """Return a header of a raw answer, empty if it is missing."""
    for line in answer.partition(b"\r\n\r\n")[0].decode().split("\r\n")[1:]:
        key, _, value = line.partition(": ")
        if key.lower() == name.lower():
            return value
    return ""


class LoopbackTestCase(TestCase):
    """Runs a test against a small deployment and stops it afterwards."""

    SERVICES = ("fleet",)
    ZONES = ("akaki", "bole")
    RULES = "[rule all]\nwhen = always\nthen = route fleet\ntimeout = 5\n"
    LIMITS = PATIENT

    def run_with(self, test):
        async def body():
            deployment = Deployment(self.SERVICES, self.ZONES, self.LIMITS, DRAIN)
            try:
                await deployment.start()
                deployment.publish_vms()
                version = deployment.publish(rules(self.RULES))
                await deployment.converged(version, WAIT)
                sites = list(deployment.sites)
                await test(deployment)
                self.assertEqual(0, sum(site.node.crashed() for site in sites))
            finally:
                await deployment.stop()

        asyncio.run(body())
