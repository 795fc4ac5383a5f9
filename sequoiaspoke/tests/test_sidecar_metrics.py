"""Tests of the metrics page and the memory account of a sidecar."""

import asyncio
import random
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.sidecar.app import Sidecar
from sequoiaspoke.sidecar.settings import SidecarSettings
from sequoiaspoke.tests.test_sidecar_entry import NoItems

SETTINGS = SidecarSettings(
    "n", "fleet", "akaki", *(("127.0.0.1", port) for port in range(1, 6)), memory_mb=64
)


class FakeStore:
    """A store that is never read."""

    new_headers = None
    request_count = 0


class FakeOutput:
    dropped = 0


class SidecarTests(TestCase):
    def play(self, scenario):
        async def run():
            self.settings = SETTINGS
            self.sidecar = Sidecar(
                SETTINGS,
                FakeStore(),
                NoItems(),
                lambda: self.settings,
                FakeOutput(),
                random.Random(1),
            )
            scenario()

        asyncio.run(run())

    def test_every_gauge_has_a_value(self):
        # A gauge that raises is missing from the page.
        def scenario():
            self.sidecar.memory.reserve(5)
            page = self.sidecar.metrics.page().decode()
            self.assertIn("sequoiaspoke_sidecar_memory_held 5.0", page)
            self.assertIn("sequoiaspoke_sidecar_rate_limit -1.0", page)

        self.play(scenario)

    def test_callers_use_the_account_of_the_node(self):
        # With an account of its own, each part could fill the whole bound.
        def scenario():
            self.assertIs(self.sidecar.callers.memory, self.sidecar.memory)
            self.assertEqual(self.sidecar.memory.limit, 16 << 20)
            self.settings = replace(SETTINGS, memory_mb=32)
            self.sidecar.reload_settings()
            self.assertEqual(self.sidecar.memory.limit, 8 << 20)

        self.play(scenario)
