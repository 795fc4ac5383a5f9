"""Keyed calls through real sockets: entry, home, witnesses and upstream."""

import asyncio
from dataclasses import replace

from uuid6 import uuid7

from sequoiaspoke.errors import Ran
from sequoiaspoke.node import headers as names
from sequoiaspoke.tests.loopback import (
    LoopbackTestCase,
    header,
    raw,
    request,
    rules,
    status,
    until,
)
from sequoiaspoke.tests.test_node import body_of, total_runs

ZONE = "akaki"
FIRST = f"{names.IDEMPOTENCY_ATTEMPT}: {names.FIRST_ATTEMPT}"
LARGE = "/bytes?n=200000"


def book(key, *lines, body=b"crusher 7", path="/book"):
    return request("POST", path, f"{names.IDEMPOTENCY_KEY}: {key}", *lines, body=body)


def told(answer):
    """Return status, reason and whether it ran."""
    return status(answer), header(answer, names.REASON), header(answer, names.RAN)


class KeyedCase(LoopbackTestCase):
    """Two zones with one target each; keys are of the first."""

    RULES = (
        "[rule book]\nwhen = always\nthen = route fleet\nidempotent = no\ntimeout = 2\n"
    )

    def run_keyed(self, test):
        async def body(deployment):
            await deployment.keys_run(30)
            ports = [site.node.ports["call"] for site in deployment.sites]
            await test(deployment, ports, f"{ZONE}/{uuid7()}")

        self.run_with(body)

    async def add_target(self, deployment):
        await deployment.add("fleet", "fleet-3", ZONE)
        deployment.publish_vms()
        await self.publish(deployment)

    async def publish(self, deployment):
        version = deployment.publish(rules(self.RULES))
        await deployment.converged(version, 10)
        await deployment.keys_run(30)


class RepeatTests(KeyedCase):
    def test_repeat_through_another_zone_gets_the_first_answer(self):
        async def test(deployment, ports, key):
            first = await raw(ports[0], book(key))
            again = await raw(ports[1], book(key))
            self.assertEqual((200, "", "ran"), told(first))
            self.assertEqual(body_of(first), body_of(again))
            self.assertEqual(
                ("", "yes"), (header(first, names.REPEAT), header(again, names.REPEAT))
            )
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_a_call_that_enters_at_its_home_is_counted_out(self):
        """Foremen book through the node of the very target that runs the booking.

        Were each booking counted as still running there, that target would look
        fuller with every call, and at last get none.
        """

        async def test(deployment, ports, key):
            for port in ports:
                await raw(port, book(f"{ZONE}/{uuid7()}"))
            for site in deployment.sites:
                loads = site.node.entry.attempts.balancer.load.targets.values()
                await until(lambda loads=loads: sum(x.in_flight for x in loads) == 0)

        self.run_keyed(test)

    def test_repeat_of_a_caller_who_went_away(self):
        """A foreman's line drops while his booking runs, and he books again. He
        must get that booking's answer, and no second crusher.
        """

        async def test(deployment, ports, key):
            slow = book(key, "Standin-Service-Ms: 300")
            call = asyncio.ensure_future(raw(ports[1], slow))
            await until(lambda: total_runs(deployment) == 1)
            call.cancel()
            again = await raw(ports[0], slow)
            self.assertEqual((200, "", "ran"), told(again))
            self.assertEqual("yes", header(again, names.REPEAT))
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_long_answer_is_whole_once(self):
        """An answer is too large to keep. Its first caller gets all of it; a repeat
        must hear that the call ran, not see a shorter success.
        """

        async def test(deployment, ports, key):
            line = f"{names.IDEMPOTENCY_KEY}: {key}"
            first = await raw(ports[1], request("GET", LARGE, line))
            again = await raw(ports[1], request("GET", LARGE, line))
            self.assertEqual(200_000, len(body_of(first)))
            self.assertEqual((410, "answer-not-kept", "ran"), told(again))

        self.run_keyed(test)

    def test_other_body_under_the_same_key(self):
        async def test(deployment, ports, key):
            await raw(ports[0], book(key))
            other = await raw(ports[1], book(key, body=b"crusher 8"))
            self.assertEqual((422, "key-reused"), told(other)[:2])
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_planned_stop_answers_repeats(self):
        """A node stops as planned just after a booking whose answer was lost. The
        caller asks again within the drain and gets it.
        """

        async def test(deployment, ports, key):
            first = await raw(ports[0], book(key))
            home = deployment.sites[0].node
            home.keyed.settings = replace(home.keyed.settings, linger=60.0)
            stop = asyncio.ensure_future(home.stop())
            await until(lambda: home.callers.server._stopped)
            again = await raw(ports[1], book(key))
            self.assertEqual(body_of(first), body_of(again))
            fresh = await raw(ports[1], book(f"{ZONE}/{uuid7()}"))
            self.assertEqual((503, "draining", "not-run"), told(fresh))
            home.keyed.settings = replace(home.keyed.settings, linger=0.0)
            stop.cancel()
            home.draining = False  # so that the deployment can stop it in full

        self.run_keyed(test)


class BrokenUpstreamTests(KeyedCase):
    def fault(self, name, expected, ran):
        async def test(deployment, ports, key):
            call = book(key, f"Standin-Fault: {name}")
            first = await raw(ports[1], call)
            self.assertEqual(expected, told(first)[1])
            again = await raw(ports[1], book(key))
            self.assertEqual((409, "key-outcome-unknown"), told(again)[:2])
            self.assertEqual(ran, total_runs(deployment))

        self.run_keyed(test)

    def test_break_before_the_answer(self):
        """The upstream's process dies after it charged a member. Nobody can know,
        and a repeat must not charge again.
        """
        self.fault("break-after", "connection-lost", 1)

    def test_break_while_the_order_is_sent(self):
        self.fault("break-within", "connection-lost", 0)

    def test_break_within_the_answer(self):
        self.fault("truncate", "answer-truncated", 1)

    def test_upstream_down_was_not_run_and_never_will_be(self):
        """No upstream listens. The caller hears not-run and makes a new key; a late
        copy of the first attempt must not run when the upstream is back.
        """

        async def test(deployment, ports, key):
            upstream = deployment.sites[0].upstream
            upstream.drain()
            first = await raw(ports[1], book(key))
            self.assertEqual((503, "upstream-shed", "not-run"), told(first))
            upstream.draining = False
            again = await raw(ports[0], book(key))
            self.assertEqual((503, "key-refused", "not-run"), told(again))
            self.assertEqual(0, total_runs(deployment))

        self.run_keyed(test)


class LostHomeTests(KeyedCase):
    def test_home_cut_off_from_its_witnesses(self):
        """A VM hears no witness any more. A first attempt certainly did not run;
        of a later one nobody there can say so.
        """

        async def test(deployment, ports, key):
            home = deployment.sites[0].node.keyed
            home.link.close()
            await until(lambda: not home.ready())
            later = await raw(ports[1], book(key))
            unknown = Ran.OUTCOME_UNKNOWN.value
            self.assertEqual((503, "window-closed", unknown), told(later))
            first = await raw(ports[1], book(key, FIRST))
            self.assertEqual((503, "window-closed", "not-run"), told(first))

        self.run_keyed(test)

    def test_configuration_moves_the_key_between_two_attempts(self):
        """A booking ran, its answer was lost, and a version gives its key to
        another target, which knows nothing of it.
        """

        async def test(deployment, ports, key):
            await self.add_target(deployment)
            fresh = f"{ZONE}/{uuid7()}"
            self.assertEqual("ran", told(await raw(ports[1], book(fresh)))[2])
            for site in deployment.sites:
                site.leaving = site.zone == ZONE and site.upstream.runs_total == 1
            await self.publish(deployment)
            again = await raw(ports[1], book(fresh))
            unknown = Ran.OUTCOME_UNKNOWN.value
            self.assertEqual((409, "key-too-old", unknown), told(again))
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_entry_with_an_older_version_catches_up(self):
        """The entry has not heard yet that the key's target is another. The target
        it asks refuses, and the entry asks again with the newer version.
        """

        async def test(deployment, ports, key):
            entry = deployment.sites[1].node
            old = entry.config.current
            deployment.sites[0].leaving = True
            await self.add_target(deployment)
            newest, entry.config.holder.current = entry.config.current, old
            call = asyncio.ensure_future(raw(ports[1], book(f"{ZONE}/{uuid7()}")))
            await until(lambda: entry.counters.retried["wrong-home"])
            entry.config.holder.current = newest
            self.assertEqual((200, "", "ran"), told(await call))

        self.run_keyed(test)


class IssuedKeyTests(KeyedCase):
    def test_issued_keys_run_without_a_window(self):
        """A VM hears no witness any more. Calls with keys that it issued itself can
        run nowhere else, so they run on, once each.
        """

        async def test(deployment, ports, key):
            asked = request("GET", names.KEYS_PATH + "fleet")
            issued = body_of(await raw(ports[0], asked)).decode().split()
            home = deployment.sites[0].node.keyed
            home.link.close()
            await until(lambda: not home.ready())
            for each in (issued[0], issued[0], issued[1]):
                answer = await raw(ports[1], book(each))
                self.assertEqual((200, "", "ran"), told(answer))
            self.assertEqual(2, total_runs(deployment))

        self.run_keyed(test)


class RoutingTests(KeyedCase):
    RULES = (
        "[rule near]\nwhen = zone akaki\nthen = route fleet\nidempotent = no\n"
        "[rule far]\nwhen = always\nthen = refuse 403\n"
    )

    def test_rules_see_the_zone_of_the_key(self):
        """A rule holds in one zone alone. Seen from the entry's zone, a repeat
        through another zone would go elsewhere and run again.
        """

        async def test(deployment, ports, key):
            answers = [told(await raw(port, book(key)))[0] for port in ports]
            self.assertEqual([200, 200], answers)
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)
