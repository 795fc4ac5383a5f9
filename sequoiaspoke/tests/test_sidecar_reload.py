"""Tests of settings that are read again while a node runs."""

import random
from dataclasses import fields, replace
from unittest.mock import Mock

from testtools import TestCase

from sequoiaspoke.core.mesh.coldstart import ColdLimits
from sequoiaspoke.core.mesh.retrybudget import RetryLimits
from sequoiaspoke.sidecar.app import Sidecar
from sequoiaspoke.sidecar.settings import RELOADED, SidecarSettings, apply_reload
from sequoiaspoke.tests.test_sidecar_entry import NoItems
from sequoiaspoke.tests.test_sidecar_exit import IdleStore

SETTINGS = SidecarSettings("n", "fleet", "akaki", *[("10.0.0.1", 1)] * 5)
OTHER = SidecarSettings(
    "m",
    "desk",
    "bole",
    *[("10.0.0.2", 2)] * 5,
    "/other",
    leave_after=0.5,
    drain=9.0,
    act_within=1.0,
    link_mbps=5.0,
    memory_mb=64.0,
    descriptors=4100.0,
    repeats=RetryLimits(0.1, 1.0, 5.0),
    cold=ColdLimits(2.0, 3.0),
    regions={"akaki": "south"},
    names=replace(SETTINGS.names, call_id="x-other"),
)


class ReloadTests(TestCase):
    def test_every_setting_is_either_changed_or_named(self):
        # One that needs a restart was half in force, or dropped without a word.
        settings, kept = apply_reload(SETTINGS, OTHER)
        names = {each.name for each in fields(SidecarSettings)}
        self.assertEqual(names - RELOADED, set(kept))
        for name in names:
            source = SETTINGS if name in kept else OTHER
            self.assertEqual(getattr(source, name), getattr(settings, name), name)

    def test_a_kept_setting_is_logged_with_both_values(self):
        sidecar = Sidecar(
            SETTINGS,
            IdleStore(),
            NoItems(),
            lambda: replace(SETTINGS, zone="bole", drain=9.0),
            None,
            random.Random(1),
        )
        sidecar.log = Mock()
        sidecar.reload_settings()
        sidecar.log.event.assert_any_call("reload", changed=True)
        sidecar.log.event.assert_any_call(
            "setting-kept", name="zone", in_force="akaki", in_file="bole"
        )
        self.assertEqual((sidecar.settings.zone, sidecar.settings.drain), ("akaki", 9))
