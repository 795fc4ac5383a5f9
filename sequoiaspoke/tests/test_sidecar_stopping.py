"""Tests of the calls that a node accepts, starts and ends after it was told to stop."""

import asyncio
import itertools
from dataclasses import replace
from functools import partial
from random import Random
from types import SimpleNamespace

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import RefusalReason
from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.durations import UNMEASURED, MeasuredRoute
from sequoiaspoke.core.mesh.model import MeshConfig, Service
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request
from sequoiaspoke.core.mesh.parents import ANSWERS_TO_KNOW
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.app import TICK_SECONDS, Sidecar
from sequoiaspoke.sidecar.home import LEAVING_RETRY_AFTER
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.linkfeatures import SUPPORTED, LinkFeatures
from sequoiaspoke.sidecar.linkserver import AcceptedLink
from sequoiaspoke.sidecar.settings import SidecarSettings
from sequoiaspoke.sidecar.stopplan import (
    LINGER_SECONDS,
    RESTART_SECONDS,
    SPARE_SHARE,
)
from sequoiaspoke.sidecar.wirecalls import pack_call, unpack_outcome
from sequoiaspoke.tests.meshsim import run_virtual
from sequoiaspoke.tests.test_sidecar_entry import NoItems, request, route
from sequoiaspoke.tests.test_sidecar_home import ENDPOINT, BlockingUpstream
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

ADDRESS = ("10.0.0.1", 1)
DRAIN = 5.9
SETTINGS = SidecarSettings("n", "fleet", "akaki", *[ADDRESS] * 5, drain=DRAIN)
# Seconds for which the calls of a route were measured, longer than all of their times.
MEASURED = 20.0
# Timeout of the routes and usual duration of their calls, in seconds.
TIMEOUT, USUAL = 2.5, 0.3


class StoppingCase(TestCase):
    """Runs a node that was told to stop on a virtual clock."""

    settings = SETTINGS
    timeout = TIMEOUT
    # Seconds for which the process did not run before it learned of the signal.
    held = 0.0
    # Whether it is told before the scenario begins.
    stops_first = True

    def play(self, scenario):
        return run_virtual(partial(self.run_scenario, scenario), self)

    async def run_scenario(self, scenario):
        store = SimpleNamespace(new_headers=None)
        self.sidecar = Sidecar(self.settings, store, NoItems(), None, None, Random(1))
        self.sidecar.log.allowed = lambda kind: False
        routes = [
            replace(route(name, name == "read"), timeout=self.timeout, objective=0.8)
            for name in ("read", "order")
        ]
        table = RouteTable(MeshConfig(1, tuple(routes), {"fleet": Service("fleet")}))
        self.sidecar.state.table = table
        self.sidecar.state.directory.put(ENDPOINT, 1, clock.now())
        self.stopped_at = clock.now()
        self.sidecar.ticked_at -= self.held
        if self.stops_first:
            self.sidecar.stop()
        return await scenario()

    def elapsed(self):
        """Return the seconds since the node was told to stop."""
        return clock.now() - self.stopped_at


class StoppingCallCase(StoppingCase):
    """Makes calls at a node that was told to stop."""

    usual, left_ms = USUAL, 5000

    def send_to_upstream(self, attempt):
        """Answer a call after `self.work` seconds."""
        self.sent += 1
        asyncio.get_running_loop().call_later(
            self.work, attempt.finish, Answer(200, (), b"served"), LoadReport()
        )

    def call(self, after, work, name="order"):
        """Return status and time of the answer to a call, and whether it was sent.

        It comes `after` seconds after the signal and takes its upstream `work` seconds.
        """
        self.work, self.sent = work, 0

        async def scenario():
            entry = self.sidecar.entry
            entry.attempts.usable = lambda endpoint: True
            entry.attempts.send_to_home = self.send_to_upstream
            entry.attempts.balancer.mean_seconds[name] = self.usual
            await asyncio.sleep(after)
            answer = await entry.handle(request(name, left=self.left_ms))
            return answer.status, self.elapsed(), self.sent > 0

        return self.play(scenario)


class AcceptedCallTests(StoppingCallCase):
    def test_a_call_that_takes_several_times_as_long_as_usual_is_answered(self):
        # A call in a hundred does. It was cut off at its upstream, and the order lost.
        self.timeout = 2.1
        status, _, _ = self.call(after=3.3, work=2.0)
        self.assertEqual(status, 200)

    def test_a_call_that_may_outlast_the_node_is_refused(self):
        # By its usual duration it fits, by its timeout it does not. Accepted and cut
        # off, nobody would know whether it ran.
        for name in ("order", "read"):
            status, elapsed, sent = self.call(after=4.0, work=2.0, name=name)
            self.assertEqual((status, sent), (503, False))
            self.assertAlmostEqual(elapsed, 4.0, delta=0.01)

    def test_a_call_with_a_deadline_after_the_last_answers_is_refused(self):
        # Its deadline is before the exit. Left to it, the call is lost if the process
        # gets no processor then; broken off before, it may have run.
        for name in ("order", "read"):
            status, elapsed, sent = self.call(after=3.3, work=2.0, name=name)
            self.assertEqual((status, sent), (503, False))
            self.assertAlmostEqual(elapsed, 3.3, delta=0.01)

    def test_a_call_made_by_one_that_is_answered_last_is_served(self):
        # Told the time left of that one a moment ago, it was refused, and both failed.
        self.timeout = 10.0
        for late in (0.0, 0.003, 0.015):
            self.left_ms = 1000 * (DRAIN - SPARE_SHARE * DRAIN + late - 3.0)
            for name in ("order", "read"):
                status, elapsed, _ = self.call(after=3.0, work=0.2, name=name)
                self.assertEqual(status, 200)
                self.assertAlmostEqual(elapsed, 3.2, delta=0.01)

    def test_no_call_of_those_who_stay_is_cut_off(self):
        # Whatever the moment and the duration, a call is answered by its upstream,
        # refused unsent, or ends at its own timeout.
        for tenths in range(int(10 * LINGER_SECONDS) + 1, int(10 * DRAIN)):
            for work in (0.1, 1.0, 2.0, 2.4, 9.0):
                after = tenths / 10
                status, elapsed, sent = self.call(after, work)
                if status == 503:
                    self.assertFalse(sent)
                    continue
                expected = 200 if work < TIMEOUT else 504
                self.assertEqual(status, expected, (after, work))
                self.assertAlmostEqual(elapsed, after + min(work, TIMEOUT), delta=0.01)

    def test_a_call_that_may_end_just_before_the_exit_is_refused(self):
        # A process whose processor comes late then was killed with the calls that it
        # had accepted.
        self.timeout = 1.0
        for after in (4.5, 4.8):
            status, _, sent = self.call(after, work=0.2)
            self.assertEqual((status, sent), (503, False))
        self.assertEqual(self.call(after=4.3, work=0.2)[0], 200)

    def test_callers_that_are_moved_away_are_served_meanwhile(self):
        # Refused for their timeout, all calls of routes with long ones would fail until
        # the platform has noticed that the node stops.
        for tenths in range(int(10 * LINGER_SECONDS)):
            status, _, _ = self.call(after=tenths / 10, work=USUAL)
            self.assertEqual(status, 200, tenths)

    def test_a_call_that_outlasts_the_node_is_answered_before_its_exit(self):
        # A process that was held just before its exit was killed with finished answers
        # that waited behind such a call on their connection.
        self.timeout = 10.0
        status, elapsed, _ = self.call(after=1.0, work=9.0)
        self.assertEqual(status, 504)
        self.assertAlmostEqual(elapsed, DRAIN - SPARE_SHARE * DRAIN, delta=0.01)


class LastMomentTests(StoppingCallCase):
    """A process may get no processor in the last moment before it is killed."""

    answered_by = DRAIN - SPARE_SHARE * DRAIN

    def test_no_call_is_left_to_a_deadline_just_before_the_exit(self):
        # Killed before such deadlines, the process took all calls with it at once.
        self.left_ms = 10_000
        for deadline in (5.3, 5.5, 5.7, DRAIN, 6.1):
            self.timeout = deadline - 1.0
            status, elapsed, _ = self.call(after=1.0, work=9.0)
            self.assertEqual(status, 504)
            expected = min(deadline, self.answered_by)
            self.assertAlmostEqual(elapsed, expected, delta=0.01)

    def test_calls_made_before_the_signal_are_answered_by_then(self):
        # Their deadlines were known before, and the exit was not.
        async def scenario():
            entry = self.sidecar.entry
            entry.attempts.usable = lambda endpoint: True
            entry.attempts.send_to_home = lambda attempt: None
            begun = clock.now()
            call = asyncio.ensure_future(entry.handle(request("order", left=5700)))
            await asyncio.sleep(0)
            self.sidecar.stop()
            return (await call).status, clock.now() - begun

        self.stops_first, self.timeout = False, 10.0
        status, elapsed = self.play(scenario)
        self.assertEqual(status, 504)
        self.assertAlmostEqual(elapsed, self.answered_by, delta=0.01)

    def test_a_call_that_no_upstream_has_is_refused_before(self):
        # It waited for a slot until then. Without a processor the node was killed with
        # it, although it could have been told as not run.
        async def scenario(waits):
            entry = self.sidecar.entry

            def send(attempt):
                attempt.withdraw_at_home = lambda: (
                    waits
                    and attempt.finish(NotRun(RefusalReason.WITHDRAWN), LoadReport())
                )

            entry.attempts.usable = lambda endpoint: True
            entry.attempts.send_to_home = send
            answer = await entry.handle(request("order", left=10_000))
            return answer.status, self.elapsed()

        self.timeout = 10.0
        status, elapsed = self.play(partial(scenario, waits=True))
        self.assertEqual(status, 503)
        spare = SPARE_SHARE * DRAIN
        self.assertAlmostEqual(elapsed, self.answered_by - spare, delta=0.01)
        status, elapsed = self.play(partial(scenario, waits=False))
        self.assertEqual(status, 504)
        self.assertAlmostEqual(elapsed, self.answered_by, delta=0.01)

    def test_no_home_is_asked_that_could_not_answer_by_then(self):
        # Sent to one more home, an order was cut off, and might have run.
        async def scenario(name):
            entry, sent = self.sidecar.entry, []
            other = replace(ENDPOINT, instance="i-2", host="10.0.0.3")
            self.sidecar.state.directory.put(other, 2, clock.now())
            entry.attempts.usable = lambda endpoint: True
            entry.attempts.send_to_home = sent.append
            entry.attempts.balancer.mean_seconds[name] = USUAL
            call = asyncio.ensure_future(entry.handle(request(name, left=10_000)))
            await asyncio.sleep(5.0)
            sent[0].finish(NotRun("queue-full", 0.2), LoadReport())
            await asyncio.sleep(0.01)
            return call.done() and call.result().status, len(sent)

        self.timeout = 10.0
        self.assertEqual(self.play(partial(scenario, "order")), (503, 1))
        self.assertEqual(self.play(partial(scenario, "read")), (False, 2))


class ManyCallsTests(StoppingCase):
    """Hundreds of calls end at one moment before the exit."""

    timeout = 10.0

    def estimates(self, count):
        """Return how many durations are estimated while many calls are ended."""

        async def scenario():
            entry, home = self.sidecar.entry, self.sidecar.home
            home.upstream, durations = BlockingUpstream(), home.admission.durations
            home.set_slots(count)
            home.admission.upstream_slots.has_answered = True
            calls = [
                asyncio.ensure_future(entry.handle(request("order", left=10_000)))
                for _ in range(count)
            ]
            await asyncio.sleep(DRAIN - 2 * SPARE_SHARE * DRAIN)
            self.assertEqual(count, len(home.calls))
            expected, estimated = durations.expected, []

            def note(name, now):
                estimated.append(name)
                return expected(name, now)

            durations.expected = note
            statuses = {(await call).status for call in calls}
            home.upstream.gate.set()
            await asyncio.sleep(0.1)
            self.assertEqual({503, 504}, statuses)
            return len(estimated)

        return self.play(scenario)

    def test_the_work_to_end_calls_grows_with_their_number(self):
        # It grew with the square. Without a whole processor, the node was killed before
        # it had sent an answer.
        few, many = self.estimates(100), self.estimates(200)
        self.assertTrue(many <= 2.5 * few, (few, many))


class LateSignalTests(StoppingCallCase):
    """The platform counts the grace from the signal, which waits for the process."""

    def test_a_node_that_learns_late_of_the_signal_exits_earlier(self):
        # It was killed before the calls that it had accepted ended at their deadline.
        self.held, self.timeout = 0.5, 10.0
        status, elapsed, _ = self.call(after=1.0, work=9.0)
        self.assertEqual(status, 504)
        exits = DRAIN - self.held
        self.assertAlmostEqual(elapsed, exits - SPARE_SHARE * exits, delta=0.01)
        self.assertAlmostEqual(
            self.sidecar.shutdown.plan.exits_at, self.stopped_at + exits, delta=0.01
        )

    def test_no_call_is_accepted_whose_deadline_is_after_the_kill(self):
        self.held = 0.5
        for after in (3.1, 3.4):
            self.assertEqual(self.call(after, work=2.0)[::2], (503, False))

    def test_after_a_long_delay_calls_have_to_end_before_the_earliest_kill(self):
        # The exit was planned later than that, as no call may be broken off too early.
        self.held = 2.0
        self.assertEqual(self.call(after=0.5, work=2.0)[0], 200)
        self.assertEqual(self.call(after=1.5, work=2.0)[::2], (503, False))

    def test_the_exit_breaks_off_no_call_that_is_accepted_late(self):
        # Such a call was sent more than three seconds after the signal.
        self.held, self.timeout = 0.8, 10.0
        self.assertEqual(self.call(after=2.1, work=USUAL)[0], 200)
        self.assertEqual(self.call(after=2.3, work=USUAL)[::2], (503, False))

    def test_no_call_is_broken_off_too_early_if_the_signal_came_last(self):
        self.held, self.timeout = 2.5, 10.0
        _, elapsed, sent = self.call(after=0.3, work=9.0)
        self.assertTrue(sent)
        self.assertAlmostEqual(elapsed, SETTINGS.break_off_after, delta=0.01)

    def test_a_short_delay_changes_nothing(self):
        self.held, self.timeout = 0.09, 10.0
        _, elapsed, _ = self.call(after=1.0, work=9.0)
        self.assertAlmostEqual(elapsed, DRAIN - SPARE_SHARE * DRAIN, delta=0.01)


class QueuedCallTests(StoppingCase):
    def submit(self, name, left):
        call = HomeCall(
            Request("GET", name, (), b""),
            ENDPOINT.incarnation,
            "r",
            0,
            False,
            clock.now() + left,
            clock.now() + left,
        )
        self.sidecar.home.submit(
            name, call, lambda outcome: self.outcomes.update({name: outcome})
        )

    def test_queued_calls_are_refused_before_the_exit_would_cut_them_off(self):
        # Started late by a node that stops, the call of another node was cut off by the
        # exit of the process.
        self.outcomes = {}

        async def scenario():
            home = self.sidecar.home
            home.upstream = BlockingUpstream()
            home.set_slots(1)
            for name, left in (("runs", 30.0), ("long", 30.0), ("short", 2.0)):
                self.submit(name, left)
            home.leaving = True
            while self.elapsed() < DRAIN:
                await asyncio.sleep(0.1)
                home.tick(clock.now())
            home.upstream.gate.set()
            await asyncio.sleep(0.1)
            return home.upstream.ran

        self.assertEqual(self.play(scenario), ["runs"])
        self.assertEqual(self.outcomes.pop("runs").status, 200)
        self.assertEqual(
            {name: (type(each), each.reason) for name, each in self.outcomes.items()},
            {"long": (NotRun, "leaving"), "short": (NotRun, "no-time")},
        )


def rounded(refusal):
    """Return a refusal with a Retry-After that can be compared."""
    return replace(refusal, retry_after=round(refusal.retry_after, 6))


class OutlastingCallTests(StoppingCase):
    """A home takes calls of other nodes for a while after the signal."""

    other = replace(ENDPOINT, instance="i-2", host="10.0.0.3")

    def measure(self, seconds, span=MEASURED):
        """Have calls of the route of a home end after some seconds each.

        Parameters
        ----------
        span : float
            Seconds for which they were measured.
        """
        durations, now = self.sidecar.home.admission.durations, clock.now()
        for number, each in enumerate(seconds):
            end = now if number else now - span + each
            durations.begin("measured", "r", end - each)
            durations.end("measured", True, end)

    async def submit(
        self,
        left,
        own=False,
        idempotent=False,
        last_resort=False,
        features=SUPPORTED,
        slots=9,
        running=0,
        measured=UNMEASURED,
    ):
        """Return the outcome, if any, of a call and whether its upstream got it.

        Parameters
        ----------
        own : bool
            Whether a caller of this node has made it, and no other node.
        features : LinkFeatures
            Features of the node that has made it.
        slots, running : int
            Numbers of calls that its upstream runs at once, and that it runs already.
        """
        home, outcomes = self.sidecar.home, []
        home.upstream = BlockingUpstream()
        home.set_slots(slots)
        home.admission.upstream_slots.has_answered = True
        until = clock.now() + left
        request = Request("POST", "/", (), b"")
        incarnation = ENDPOINT.incarnation
        call = HomeCall(
            request,
            incarnation,
            "r",
            0,
            idempotent,
            until,
            until,
            last_resort=last_resort,
            measured=measured,
        )
        for number in range(running):
            home.submit(number, call, outcomes.append)
        await asyncio.sleep(0)
        home.upstream.ran.clear()
        if own:
            home.submit("k", call, outcomes.append)
        else:
            stream = SimpleNamespace(send=outcomes.append)
            link = AcceptedLink(stream, self.sidecar.links)
            hello = wire.Hello("10.0.0.2", 1, "akaki", clock.now(), False, features)
            link.handle_frame(wire.Frame(hello=hello))
            outcomes.clear()
            link.handle_frame(pack_call(call, 1, 0.0))
        await asyncio.sleep(0.1)
        found = [rounded(unpack_outcome(each)[1]) for each in outcomes]
        ran = bool(home.upstream.ran)
        home.upstream.gate.set()
        await asyncio.sleep(0.1)
        return found, ran

    def test_a_call_that_the_exit_may_cut_off_goes_to_another_home(self):
        # Its upstream was at work when the process ended, and its caller was told 502.
        async def scenario():
            self.sidecar.state.directory.put(self.other, 2, clock.now())
            return await self.submit(left=9.0)

        refusal = NotRun(RefusalReason.LEAVING, LEAVING_RETRY_AFTER)
        self.assertEqual(self.play(scenario), ([refusal], False))

    def test_a_call_that_may_be_tried_again_goes_to_another_home_too(self):
        # It was run and cut off. Its entry, which was stopping as well, could not try
        # it again.
        async def scenario():
            self.sidecar.state.directory.put(self.other, 2, clock.now())
            return await self.submit(left=9.0, idempotent=True)

        refusal = NotRun(RefusalReason.LEAVING, LEAVING_RETRY_AFTER)
        self.assertEqual(self.play(scenario), ([refusal], False))

    def test_a_call_that_may_be_tried_again_is_run_if_it_ends_before_the_exit(self):
        async def scenario():
            self.sidecar.state.directory.put(self.other, 2, clock.now())
            return await self.submit(left=5.0, idempotent=True)

        self.assertEqual(self.play(scenario), ([], True))

    def test_a_call_that_may_be_tried_again_is_run_if_no_other_home_takes_it(self):
        async def scenario():
            return await self.submit(left=9.0, idempotent=True)

        self.assertEqual(self.play(scenario), ([], True))

    def test_a_call_that_ends_before_the_exit_is_run(self):
        async def scenario():
            self.sidecar.state.directory.put(self.other, 2, clock.now())
            return await self.submit(left=5.0)

        self.assertEqual(self.play(scenario), ([], True))

    def test_a_call_that_no_other_home_takes_is_run(self):
        # All calls with long timeouts would be refused where all homes are restarted.
        async def scenario(other_leaves):
            if other_leaves:
                self.sidecar.state.directory.put(self.other, 2, clock.now())
                self.sidecar.peers.link(self.other.host).leaving = True
            return await self.submit(left=9.0)

        for other_leaves in (False, True):
            found = self.play(lambda leaves=other_leaves: scenario(leaves))
            self.assertEqual(found, ([], True))

    def test_a_call_that_all_homes_have_refused_is_run(self):
        # Its entry knows that, and the homes may not know of each other.
        async def scenario():
            self.sidecar.state.directory.put(self.other, 2, clock.now())
            return await self.submit(left=9.0, last_resort=True)

        self.assertEqual(self.play(scenario), ([], True))

    def test_a_call_that_no_home_can_end_is_told_when_this_one_is_back(self):
        # It was run as a last resort, and cut off by the exit.
        async def scenario(seconds, idempotent, last_resort):
            if last_resort:
                self.sidecar.state.directory.put(self.other, 2, clock.now())
            self.measure(seconds)
            return await self.submit(
                left=9.0, idempotent=idempotent, last_resort=last_resort
            )

        refusal = NotRun(RefusalReason.LEAVING, DRAIN + RESTART_SECONDS)
        for idempotent, last_resort in itertools.product((False, True), repeat=2):
            for seconds, expected in (
                # Too long by the mean of the route, by its longest call, and neither.
                (9 * [2.0], ([refusal], False)),
                (40 * [0.05] + [5.5] + 40 * [0.05], ([refusal], False)),
                (40 * [0.05] + [2.0] + 40 * [0.05], ([], True)),
            ):
                found = self.play(partial(scenario, seconds, idempotent, last_resort))
                self.assertEqual(found, expected)

    def test_a_call_of_an_unmeasured_route_is_run_only_with_much_time(self):
        # Nothing is known of its duration but its timeout.
        refusal = NotRun(RefusalReason.LEAVING, DRAIN + RESTART_SECONDS)
        for idempotent in (False, True):
            for left, expected in ((9.0, ([], True)), (12.0, ([refusal], False))):
                found = self.play(
                    partial(self.submit, left=left, idempotent=idempotent)
                )
                self.assertEqual(found, expected)

    def test_what_its_entry_has_measured_counts_at_a_new_home(self):
        # A home knew of short calls only, took a long one and broke it off, or refused
        # all of a route whose calls are short.
        refusal = NotRun(RefusalReason.LEAVING, DRAIN + RESTART_SECONDS)
        for left, measured, expected in (
            (9.0, UNMEASURED, ([], True)),
            (9.0, MeasuredRoute(5.9, 1.0), ([refusal], False)),
            (9.0, MeasuredRoute(5.9, 60.0), ([refusal], False)),
            (12.0, MeasuredRoute(2.0, 1.0), ([refusal], False)),
            (12.0, MeasuredRoute(2.0, 60.0), ([], True)),
        ):
            found = self.play(partial(self.submit, left=left, measured=measured))
            self.assertEqual(found, expected, measured)

    def test_a_home_that_has_measured_more_goes_by_that(self):
        async def scenario():
            self.measure(40 * [0.05] + [5.5] + 40 * [0.05])
            return await self.submit(left=9.0, measured=MeasuredRoute(0.1, 60.0))

        refusal = NotRun(RefusalReason.LEAVING, DRAIN + RESTART_SECONDS)
        self.assertEqual(self.play(scenario), ([refusal], False))

    def test_a_route_is_unmeasured_until_its_long_calls_may_have_ended(self):
        # Only its short calls had ended seconds after the start of the home, and a long
        # one was cut off.
        async def scenario(span):
            self.measure(40 * [0.05], span)
            return await self.submit(left=12.0)

        refusal = NotRun(RefusalReason.LEAVING, DRAIN + RESTART_SECONDS)
        self.assertEqual(self.play(partial(scenario, 5.0)), ([refusal], False))
        self.assertEqual(self.play(partial(scenario, 13.0)), ([], True))

    def test_a_call_that_would_wait_too_long_is_not_taken(self):
        # It waited until its start could not end well.
        async def scenario(running):
            self.measure(9 * [1.2])
            return await self.submit(left=9.0, slots=1, running=running)

        refusal = NotRun(RefusalReason.LEAVING, DRAIN + RESTART_SECONDS)
        self.assertEqual(self.play(partial(scenario, running=0)), ([], True))
        self.assertEqual(self.play(partial(scenario, running=1)), ([refusal], False))

    def test_a_call_of_an_entry_that_would_not_come_back_is_run(self):
        # A node of an earlier build answered 503 where all homes refused its order.
        async def scenario():
            self.sidecar.state.directory.put(self.other, 2, clock.now())
            return await self.submit(left=9.0, features=LinkFeatures.PARTS)

        self.assertEqual(self.play(scenario), ([], True))

    def test_a_call_of_a_caller_of_the_node_is_run(self):
        # Its entry ends with the same process, wherever it runs.
        async def scenario():
            self.sidecar.state.directory.put(self.other, 2, clock.now())
            return await self.submit(left=9.0, own=True)

        self.assertEqual(self.play(scenario), ([], True))


class SlowStream:
    """A link whose other end reads the last frames at a given time."""

    def __init__(self, read_at):
        self.read_at = read_at

    def unsent_bytes(self):
        return 0 if clock.now() >= self.read_at else 100

    undelivered_bytes = unsent_bytes

    def send(self, frame):
        """Drop a frame."""


class ExitTimeTests(StoppingCase):
    def test_the_input_ends_some_time_before_the_exit(self):
        # Requests that came while the process got no processor were unread when it was
        # killed. Until then an upstream may make calls for those that it runs.
        for calling, answers in ((True, ANSWERS_TO_KNOW), (False, 0)):
            scenario = partial(self.end_of_input, calling, answers)
            ended, exited = self.play(scenario)
            self.assertAlmostEqual(ended, DRAIN - SPARE_SHARE * DRAIN, delta=0.01)
            self.assertTrue(DRAIN <= exited <= DRAIN + 0.03)

    def test_the_input_ends_after_callers_had_time_to_leave(self):
        # A call in progress kept it open, and a suspended process was killed with what
        # the kernel had accepted meanwhile.
        ended, exited = self.play(partial(self.end_of_input, calling=False))
        self.assertTrue(LINGER_SECONDS <= ended <= LINGER_SECONDS + TICK_SECONDS)
        self.assertTrue(DRAIN <= exited <= DRAIN + 0.03)

    def test_a_late_signal_leaves_callers_the_same_time(self):
        # They learn from the node that it stops when it runs again.
        self.held = 0.9
        ended, _ = self.play(partial(self.end_of_input, calling=False))
        self.assertTrue(LINGER_SECONDS <= ended <= LINGER_SECONDS + TICK_SECONDS)

    async def end_of_input(self, calling, answers=ANSWERS_TO_KNOW):
        """Return when the input ends and the node exits, which runs a call."""
        home = self.sidecar.home
        for _ in range(answers):
            home.calling_kinds.record_answer("kind")
        if calling:
            home.calling_kinds.record_nested("kind")
        home.nested_room.begin("runs", "kind")
        home.calls["runs"] = None
        self.sidecar.run_ticks()
        await self.sidecar.shutdown.input_ended.wait()
        ended = self.elapsed()
        await self.sidecar.shutdown.finish()
        return ended, self.elapsed()

    def test_a_node_without_calls_in_progress_exits_once_the_input_has_ended(self):
        async def scenario():
            self.sidecar.home.calls["runs"] = None
            self.sidecar.run_ticks()
            await self.sidecar.shutdown.input_ended.wait()
            await asyncio.sleep(0.1)
            self.sidecar.home.calls.clear()
            await self.sidecar.shutdown.finish()
            return self.elapsed()

        self.assertTrue(self.play(scenario) < DRAIN - 0.3)

    def test_a_node_exits_after_its_last_outcomes_have_left(self):
        # A home ended once no call was in progress; the outcome of the last one was
        # still in the buffer of a slow link, and the order's caller was told 502.
        async def scenario(read_at):
            link = SimpleNamespace(stream=SlowStream(self.stopped_at + read_at))
            self.sidecar.links.links.append(link)
            self.sidecar.run_ticks()
            await self.sidecar.shutdown.finish()
            return self.elapsed()

        for read_at, latest in ((3.5, 3.6), (9.0, DRAIN + 0.03)):
            elapsed = self.play(lambda read_at=read_at: scenario(read_at))
            self.assertTrue(min(read_at, DRAIN) <= elapsed <= latest, elapsed)

    def test_a_node_with_calls_in_progress_exits_on_time(self):
        # It looked at the clock at each tick, a tenth of a second apart, and was
        # killed before the tick in which it would have ended.
        async def scenario():
            self.sidecar.home.calls["runs"] = None
            await asyncio.sleep(0.05)
            self.sidecar.run_ticks()
            await self.sidecar.shutdown.finish()
            return self.elapsed()

        self.assertTrue(DRAIN <= self.play(scenario) <= DRAIN + 0.03)
