"""Tests of keyed calls over real sockets: entry, home, witnesses and upstream."""

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


def outcome(answer):
    """Return the status, the reason and whether the call ran."""
    return status(answer), header(answer, names.REASON), header(answer, names.RAN)


class KeyedCase(LoopbackTestCase):
    """Two zones with one target each; the keys belong to the first zone."""

    RULES = (
        "[rule book]\nwhen = always\nthen = route fleet\nidempotent = no\ntimeout = 2\n"
    )

    def run_keyed(self, test):
        async def body(deployment):
            await self.until_served(deployment)
            ports = [site.node.ports["call"] for site in deployment.sites]
            await test(deployment, ports, f"{ZONE}/{uuid7()}")

        self.run_with(body)

    async def until_served(self, deployment):
        """Wait until homes run new keys and entries pass them on.

        An entry that did not run for a while first has its version confirmed.
        """
        await deployment.keys_run(30)
        nodes = [site.node for site in deployment.sites]
        await until(lambda: all(node.config.verified for node in nodes))

    async def add_target(self, deployment):
        await deployment.add("fleet", "fleet-3", ZONE)
        deployment.publish_vms()
        await self.publish(deployment)

    async def publish(self, deployment):
        version = deployment.publish(rules(self.RULES))
        await deployment.converged(version, 10)
        await self.until_served(deployment)


class KeyedRetryTests(KeyedCase):
    def test_retry_through_another_zone_gets_the_first_answer(self):
        async def test(deployment, ports, key):
            first = await raw(ports[0], book(key))
            again = await raw(ports[1], book(key))
            self.assertEqual((200, "", "ran"), outcome(first))
            self.assertEqual(body_of(first), body_of(again))
            self.assertEqual(
                ("", "yes"), (header(first, names.REPEAT), header(again, names.REPEAT))
            )
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_a_call_that_enters_at_its_home_does_not_stay_in_flight(self):
        """The entry of a keyed call is also its home.

        If the entry kept counting such a call as in flight, the target's load
        would grow with every call until the balancer chose it no more.
        """

        async def test(deployment, ports, key):
            for port in ports:
                await raw(port, book(f"{ZONE}/{uuid7()}"))
            for site in deployment.sites:
                loads = site.node.entry.attempts.balancer.load.targets.values()
                await until(lambda loads=loads: sum(x.in_flight for x in loads) == 0)

        self.run_keyed(test)

    def test_retry_after_the_caller_disconnected(self):
        """A caller disconnects while its call runs, and retries.

        The retry must get the answer of the first run, without a second run.
        """

        async def test(deployment, ports, key):
            slow = book(key, "Standin-Service-Ms: 300")
            call = asyncio.ensure_future(raw(ports[1], slow))
            await until(lambda: total_runs(deployment) == 1)
            call.cancel()
            again = await raw(ports[0], slow)
            self.assertEqual((200, "", "ran"), outcome(again))
            self.assertEqual("yes", header(again, names.REPEAT))
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_long_answer_is_streamed_once(self):
        """An answer is too large to keep.

        The first caller gets all of it; a retry must be told that the call ran,
        not get a shortened success.
        """

        async def test(deployment, ports, key):
            line = f"{names.IDEMPOTENCY_KEY}: {key}"
            first = await raw(ports[1], request("GET", LARGE, line))
            again = await raw(ports[1], request("GET", LARGE, line))
            self.assertEqual(200_000, len(body_of(first)))
            self.assertEqual((410, "answer-not-kept", "ran"), outcome(again))

        self.run_keyed(test)

    def test_other_body_under_the_same_key(self):
        async def test(deployment, ports, key):
            await raw(ports[0], book(key))
            other = await raw(ports[1], book(key, body=b"crusher 8"))
            self.assertEqual((422, "key-reused"), outcome(other)[:2])
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_draining_home_answers_retries(self):
        """A node drains just after a call whose answer was lost.

        A retry during the drain gets the answer; a new key is refused.
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
            self.assertEqual((503, "draining", "not-run"), outcome(fresh))
            home.keyed.settings = replace(home.keyed.settings, linger=0.0)
            stop.cancel()
            home.draining = False  # so that the deployment can stop it completely

        self.run_keyed(test)


class BrokenUpstreamTests(KeyedCase):
    def fault(self, name, expected, ran):
        async def test(deployment, ports, key):
            call = book(key, f"Standin-Fault: {name}")
            first = await raw(ports[1], call)
            self.assertEqual(expected, outcome(first)[1])
            again = await raw(ports[1], book(key))
            self.assertEqual((409, "key-outcome-unknown"), outcome(again)[:2])
            self.assertEqual(ran, total_runs(deployment))

        self.run_keyed(test)

    def test_break_before_the_answer(self):
        """The connection breaks after the upstream ran the call.

        The outcome is unknown, and a retry must not run the call again.
        """
        self.fault("break-after", "connection-lost", 1)

    def test_break_while_the_request_is_sent(self):
        self.fault("break-within", "connection-lost", 0)

    def test_break_within_the_answer(self):
        self.fault("truncate", "answer-truncated", 1)

    def test_upstream_down_was_not_run_and_never_will_be(self):
        """The upstream refuses the call because it drains.

        The caller is told `not-run` and may use a new key, so a late copy of the
        first attempt must not run once the upstream accepts calls again.
        """

        async def test(deployment, ports, key):
            upstream = deployment.sites[0].upstream
            upstream.drain()
            first = await raw(ports[1], book(key))
            self.assertEqual((503, "upstream-shed", "not-run"), outcome(first))
            upstream.draining = False
            again = await raw(ports[0], book(key))
            self.assertEqual((503, "key-refused", "not-run"), outcome(again))
            self.assertEqual(0, total_runs(deployment))

        self.run_keyed(test)


class LostHomeTests(KeyedCase):
    def test_home_cut_off_from_its_witnesses(self):
        """A home gets no answers from its witnesses any more.

        It refuses new keys. Only a first attempt is known not to have run; for a
        later one the outcome is unknown.
        """

        async def test(deployment, ports, key):
            home = deployment.sites[0].node.keyed
            home.link.close()
            await until(lambda: not home.ready())
            later = await raw(ports[1], book(key))
            unknown = Ran.OUTCOME_UNKNOWN.value
            self.assertEqual((503, "window-closed", unknown), outcome(later))
            first = await raw(ports[1], book(key, FIRST))
            self.assertEqual((503, "window-closed", "not-run"), outcome(first))

        self.run_keyed(test)

    def test_configuration_moves_the_key_between_two_attempts(self):
        """A call ran, its answer was lost, and a new version moves its key.

        The new target has no record of the run, so it must refuse the retry.
        """

        async def test(deployment, ports, key):
            await self.add_target(deployment)
            fresh = f"{ZONE}/{uuid7()}"
            self.assertEqual("ran", outcome(await raw(ports[1], book(fresh)))[2])
            for site in deployment.sites:
                site.leaving = site.zone == ZONE and site.upstream.runs_total == 1
            await self.publish(deployment)
            again = await raw(ports[1], book(fresh))
            unknown = Ran.OUTCOME_UNKNOWN.value
            self.assertEqual((409, "key-too-old", unknown), outcome(again))
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)

    def test_entry_with_an_older_version_catches_up(self):
        """The entry does not have the version yet that moves the key.

        The old target refuses, and the entry retries with the newer version.
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
            self.assertEqual((200, "", "ran"), outcome(await call))

        self.run_keyed(test)


class IssuedKeyTests(KeyedCase):
    def test_issued_keys_run_without_a_window(self):
        """A home gets no answers from its witnesses any more.

        Keys that it issued itself can run nowhere else, so it still runs them,
        once each.
        """

        async def test(deployment, ports, key):
            asked = request("GET", names.KEYS_PATH + "fleet")
            issued = body_of(await raw(ports[0], asked)).decode().split()
            home = deployment.sites[0].node.keyed
            home.link.close()
            await until(lambda: not home.ready())
            for each in (issued[0], issued[0], issued[1]):
                answer = await raw(ports[1], book(each))
                self.assertEqual((200, "", "ran"), outcome(answer))
            self.assertEqual(2, total_runs(deployment))

        self.run_keyed(test)


class RoutingTests(KeyedCase):
    RULES = (
        "[rule near]\nwhen = zone akaki\nthen = route fleet\nidempotent = no\n"
        "[rule far]\nwhen = always\nthen = refuse 403\n"
    )

    def test_rules_see_the_zone_of_the_key(self):
        """A rule applies in one zone only.

        If rules saw the entry's zone instead, a retry through another zone would
        be routed differently and could run again.
        """

        async def test(deployment, ports, key):
            answers = [outcome(await raw(port, book(key)))[0] for port in ports]
            self.assertEqual([200, 200], answers)
            self.assertEqual(1, total_runs(deployment))

        self.run_keyed(test)
