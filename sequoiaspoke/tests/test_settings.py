"""Tests of the settings file."""

from testtools import TestCase

from sequoiaspoke.errors import SettingsError
from sequoiaspoke.settings.load import parse_settings

COMPLETE = """\
[node]
name = akaki-fleet-1
zone = akaki
address = 10.0.0.1
call_port = 80

[platform]
url = http://10.0.0.9:8500

[upstream]
target = fleet-1
service = fleet
"""


class ParseSettingsTests(TestCase):
    def test_given_values_replace_defaults(self):
        settings = parse_settings(COMPLETE)
        self.assertEqual("akaki", settings.node.zone)
        self.assertEqual(80, settings.node.call_port)
        self.assertEqual(8081, settings.node.mesh_port)

    def test_every_problem_is_reported_at_once_with_its_place(self):
        text = COMPLETE.replace("call_port = 80", "call_port = 80a\ncolour = red")
        text = text.replace("10.0.0.1", "localhost") + "\n[nodes]\n"
        text = text.replace("service = fleet\n", "")
        error = self.assertRaises(SettingsError, parse_settings, text, "n.ini")
        self.assertEqual(
            [
                ("nodes", "", 14),
                ("node", "address", 4),
                ("node", "call_port", 5),
                ("node", "colour", 6),
                ("upstream", "service", 11),
            ],
            [(each.section, each.key, each.line) for each in error.problems],
        )
        self.assertIn(
            "found '80a'; allowed: a whole number from 0 to 65535", str(error)
        )

    def test_a_syntax_error_is_reported_with_its_line(self):
        error = self.assertRaises(SettingsError, parse_settings, "[node]\nzone\n", "f")
        self.assertEqual(2, error.problems[0].line)

    def test_a_key_given_twice_is_an_error(self):
        text = COMPLETE.replace("zone = akaki", "zone = akaki\nzone = bole")
        self.assertRaises(SettingsError, parse_settings, text)
