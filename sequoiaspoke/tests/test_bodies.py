"""Tests of bodies in parts between entries and a home, on a virtual clock."""

import asyncio
from dataclasses import replace
from unittest.mock import Mock

from testtools import TestCase

from sequoiaspoke.core.mesh.memory import header_size
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Unknown
from sequoiaspoke.core.mesh.transfers import PART_BYTES
from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar import linkserver
from sequoiaspoke.sidecar.bodypolicy import MEMORY_REFUSED
from sequoiaspoke.sidecar.linkfeatures import LinkFeatures
from sequoiaspoke.sidecar.linkserver import AcceptedLink
from sequoiaspoke.sidecar.transfers import OutgoingBody
from sequoiaspoke.sidecar.upstream import UNREACHABLE
from sequoiaspoke.tests.bodysim import ENDPOINT, body_of, play_bodies
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

SIZE = 100 << 10
# Bytes that the head of a call takes in memory.
HEAD = len("/1") + header_size("Host", "x")


class BodiesCase(TestCase):
    def play(self, scenario, **options):
        play_bodies(self, scenario, **options)


class TransferTests(BodiesCase):
    def test_a_body_in_parts_arrives_as_it_was_sent(self):
        async def scenario(world):
            world.send("/1", SIZE)
            await world.until(lambda: world.outcomes)
            self.assertIsInstance(world.outcomes["/1"], Answer)
            self.assertEqual(world.upstream.runs, [("/1", body_of("/1", SIZE))])
            sizes = {len(part.data) for part in world.parts}
            self.assertTrue(max(sizes) <= PART_BYTES and len(world.parts) > 10)
            self.assertEqual(world.home.counts["body-fetched"], 1)
            self.assertFalse(world.home.bodies.bodies or world.home.bodies.complete)

        self.play(scenario)

    def test_a_small_body_goes_with_its_call(self):
        async def scenario(world):
            world.send("/1", PART_BYTES)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.parts, [])
            self.assertEqual(len(world.upstream.runs), 1)

        self.play(scenario)

    def test_an_old_home_gets_the_whole_body(self):
        # During a rolling update an old home would run the call without its body.
        self.patch(linkserver, "SUPPORTED", LinkFeatures(0))

        async def scenario(world):
            world.send("/1", SIZE)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.parts, [])
            self.assertEqual(world.upstream.runs, [("/1", body_of("/1", SIZE))])

        self.play(scenario)

    def test_a_refused_call_sends_no_body(self):
        # Bodies of refused calls filled the links between zones.
        async def scenario(world):
            world.home.leaving = True
            world.send("/1", SIZE)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"].reason, "leaving")
            self.assertEqual(world.parts, [])

        self.play(scenario)

    def test_a_small_call_overtakes_bodies(self):
        # Nested calls missed their deadlines behind bodies.
        async def scenario(world):
            for number in range(4):
                world.send(f"/{number}", 3 * SIZE, entry=number % 2)
            await world.arrived("/0")
            world.send("/small", 10)
            await world.until(lambda: world.outcomes)
            self.assertEqual(list(world.outcomes), ["/small"])

        self.play(scenario)


class FailureTests(BodiesCase):
    def test_a_cancelled_call_gives_its_credit_to_the_next(self):
        # Also a caller that disconnects or times out cancels. Its rest of the body
        # would delay the others.
        async def scenario(world):
            first = world.send("/1", 3 * SIZE)
            world.send("/2", SIZE, entry=1)
            await world.arrived("/1")
            world.entries[0].cancel(first)
            await world.until(lambda: "/2" in world.outcomes)
            self.assertEqual([name for name, _ in world.upstream.runs], ["/2"])
            self.assertEqual(world.home.counts["body-dropped"], 1)

        self.play(scenario)

    def test_a_call_withdrawn_during_its_transfer_has_not_run(self):
        async def scenario(world):
            pending = world.send("/1", SIZE)
            await world.arrived("/1")
            world.entries[0].withdraw(pending)
            self.assertEqual(world.outcomes["/1"], NotRun("withdrawn"))
            await world.until(lambda: not world.home.calls)
            self.assertEqual(world.upstream.runs, [])

        self.play(scenario)

    def test_a_broken_link_is_opened_again_and_the_body_continues(self):
        # Sent from the start again, bodies would fill a link that breaks often.
        async def scenario(world):
            world.send("/1", SIZE)
            await world.arrived("/1")
            world.break_links()
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.upstream.runs, [("/1", body_of("/1", SIZE))])
            self.assertTrue(sum(len(part.data) for part in world.parts) < 1.5 * SIZE)

        self.play(scenario)

    def test_a_home_that_ends_during_a_transfer_has_not_run_the_call(self):
        # Told as unknown, an upload would be lost although it can run elsewhere.
        for restarts in (False, True):

            async def scenario(world, restarts=restarts):
                world.send("/1", SIZE)
                await world.arrived("/1")
                world.kill_home()
                if restarts:
                    world.start_home()
                await world.until(lambda: world.outcomes)
                reason = "home-restarted" if restarts else "home-unreachable"
                self.assertEqual(world.outcomes["/1"], NotRun(reason))
                self.assertEqual(world.upstream.runs, [])

            self.play(scenario)

    def test_a_home_that_ends_after_the_transfer_may_have_run_the_call(self):
        # Told as not run, an upload would run twice.
        async def scenario(world):
            world.send("/1", SIZE)
            await world.until(lambda: world.upstream.runs)
            world.kill_home()
            world.start_home()
            await world.until(lambda: world.outcomes)
            self.assertIsInstance(world.outcomes["/1"], Unknown)

        self.play(scenario)

    def test_a_home_whose_entry_ends_drops_the_body(self):
        # The memory of bodies that nobody completes would never be freed.
        async def scenario(world):
            world.send("/1", SIZE)
            await world.arrived("/1")
            world.entries[0].close()
            await world.until(lambda: not world.home.calls, 1.5)
            self.assertEqual(world.home.counts["body-expired"], 1)
            self.assertEqual(world.upstream.runs, [])

        self.play(scenario)

    def test_a_cut_entry_does_not_hold_up_the_others(self):
        async def scenario(world):
            world.send("/1", 3 * SIZE)
            world.send("/2", SIZE, entry=1)
            await world.arrived("/1")
            world.cuts.add(("e0", "home"))
            await world.until(lambda: "/2" in world.outcomes, 1.0)
            world.cuts.clear()
            await world.until(lambda: "/1" in world.outcomes)
            self.assertEqual(len(world.upstream.runs), 2)

        self.play(scenario)

    def test_a_body_that_can_no_longer_come_in_time_is_refused(self):
        async def scenario(world):
            world.send("/1", 3 * SIZE, seconds=1.0)
            await world.arrived("/1")
            world.cuts.add(("e0", "home"))
            await world.until(lambda: not world.home.calls, 1.0)
            self.assertEqual(world.home.counts["no-time"], 1)
            self.assertEqual(world.upstream.runs, [])

        self.play(scenario)

    def test_an_upstream_that_leaves_refuses_incomplete_calls(self):
        async def scenario(world):
            world.send("/1", SIZE)
            await world.arrived("/1")
            world.home.set_evacuated(True, 0)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"].reason, "zone-evacuated")
            self.assertEqual(world.upstream.runs, [])
            self.assertEqual(world.home.admission.incomplete, set())

        self.play(scenario)

    def test_an_upstream_that_drains_refuses_incomplete_calls(self):
        # The body would be fetched for an upstream that exits before the call ends.
        async def scenario(world):
            world.send("/1", 9 * SIZE)
            await world.arrived("/1")
            world.directory.put(replace(ENDPOINT, draining=True), 6, world.now())
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"].reason, "instance-leaving")
            self.assertEqual(world.upstream.runs, [])
            self.assertEqual((world.home.bodies.bodies, world.memory.held), ({}, 0))

        self.play(scenario)

    def test_a_restart_of_the_upstream_keeps_the_transfer(self):
        # A queued call runs at the later incarnation; its body is not fetched again.
        async def scenario(world):
            world.send("/1", SIZE)
            await world.arrived("/1")
            restarted = replace(ENDPOINT, born=99)
            world.directory.put(restarted, 6, world.now())
            world.home.update_endpoint(restarted)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.upstream.runs, [("/1", body_of("/1", SIZE))])
            self.assertEqual(sum(len(part.data) for part in world.parts), SIZE)

        self.play(scenario)

    def test_an_upstream_that_is_down_after_the_transfer_has_not_run_the_call(self):
        # Reported as unknown, an upload would be lost although it can run elsewhere.
        async def scenario(world):
            world.send("/1", SIZE)
            await world.arrived("/1")

            async def call(*arguments):
                return NotRun(UNREACHABLE)

            world.upstream.call = call
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"], NotRun(UNREACHABLE))
            self.assertEqual(
                (world.home.bodies.complete, world.memory.held), (set(), 0)
            )

        self.play(scenario)

    def test_an_old_entry_sends_a_whole_body_to_a_new_home(self):
        # During a rolling update the home would wait for parts that never come.
        async def scenario(world):
            stream = Mock()
            link = AcceptedLink(stream, world.server)
            link.handle_frame(
                wire.Frame(hello=wire.Hello("old", 1, "akaki", 0.0, False))
            )
            until, body = world.now() + 3, body_of("/1", SIZE)
            call = wire.Call(1, "i-1", "up", "POST", "/1", [], body)
            call.deadline = call.on_time = until
            call.rank, call.idempotent, call.born = 2, False, 0
            link.handle_frame(wire.Frame(call=call))
            self.assertEqual(world.memory.held, len("/1") + SIZE)
            await world.until(lambda: not world.home.calls)
            self.assertEqual(world.upstream.runs, [("/1", body)])
            sent = [each.args[0] for each in stream.send.call_args_list]
            self.assertEqual(
                [each.answer.status for each in sent if each.answer], [200]
            )
            self.assertFalse(any(each.fetch for each in sent))

        self.play(scenario)

    def test_a_request_in_quarantine_is_refused_once_its_body_is_known(self):
        # The fingerprint covers the body: a request that crashes upstreams would run.
        async def scenario(world):
            world.home.held_seconds = lambda call: 2.0 if call.request.body else 0.0
            world.send("/1", SIZE)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"].reason, "held-back")
            self.assertEqual(world.upstream.runs, [])

        self.play(scenario)


class MemoryTests(BodiesCase):
    def test_a_body_is_fetched_only_once_it_fits(self):
        # A home beside many slow callers would exceed the memory of its VM.
        async def scenario(world):
            world.memory.limit = int(1.5 * SIZE)
            for number in range(2):
                world.send(f"/{number}", SIZE, entry=number)
            await world.arrived("/0")
            self.assertEqual(world.memory.held, 2 * HEAD + SIZE)
            await world.until(lambda: len(world.outcomes) == 2)
            self.assertEqual(len(world.upstream.runs), 2)
            self.assertEqual(world.memory.held, 0)

        self.play(scenario)

    def test_a_body_that_never_fits_does_not_delay_a_smaller_one(self):
        async def scenario(world):
            world.memory.limit = 2 * SIZE
            world.send("/1", 3 * SIZE, seconds=1.5)
            world.send("/2", SIZE, entry=1)
            await world.until(lambda: len(world.outcomes) == 2)
            self.assertEqual([name for name, _ in world.upstream.runs], ["/2"])
            self.assertEqual(list(world.outcomes), ["/1", "/2"])
            self.assertEqual(world.outcomes["/1"].reason, MEMORY_REFUSED)

        self.play(scenario)

    def test_a_large_body_is_not_overtaken_by_smaller_ones_without_end(self):
        # It waited until its deadline while others took the room that became free.
        async def scenario(world):
            world.memory.limit = 2 * SIZE
            world.home.set_slots(9)
            for number in range(3):
                world.send(f"/{number}", SIZE // 2, seconds=9.0)
            await world.until(lambda: world.upstream.runs)
            world.send("/large", 2 * SIZE, seconds=9.0)
            for number in range(3, 16):
                world.send(f"/{number}", SIZE // 2, seconds=9.0)
            await world.until(lambda: len(world.outcomes) == 17)
            names = [name for name, _ in world.upstream.runs]
            self.assertTrue(names.index("/large") <= 3, names)
            self.assertEqual(len(names), 17)

        self.play(scenario)

    def test_a_body_that_arrives_with_its_call_is_counted_until_its_end(self):
        async def scenario(world):
            world.send("/1", PART_BYTES)
            await world.until(lambda: world.upstream.runs)
            self.assertEqual(world.memory.held, HEAD + PART_BYTES)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.memory.held, 0)

        self.play(scenario)


class LinkLossTests(BodiesCase):
    def test_a_call_on_a_stream_that_has_just_closed_stays_unsent(self):
        # Counted as sent, an upload that no home has would be reported as unknown.
        async def scenario(world):
            world.send("/1", 10)
            await world.until(lambda: world.outcomes)
            world.entries[0].stream.close()
            pending = world.send("/2", SIZE)
            self.assertIsNone(pending.home_incarnation)
            await world.until(lambda: "/2" in world.outcomes)
            self.assertEqual(len(world.upstream.runs), 2)

        self.play(scenario)

    def test_a_withdrawal_without_a_link_follows_the_next_handshake(self):
        # A lost withdrawal ended as a timeout of a call that certainly had not run.
        async def scenario(world):
            world.home.admission.free_slots = lambda now: 0
            pending = world.send("/1", 10)
            await world.until(lambda: world.home.calls)
            world.break_links()
            await world.until(lambda: not world.entries[0].established)
            world.entries[0].withdraw(pending)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"], NotRun("withdrawn"))
            self.assertEqual(world.upstream.runs, [])

        self.play(scenario)

    def test_a_call_that_runs_is_answered_over_the_link_of_its_withdrawal(self):
        # The answer went to the link that had ended.
        async def scenario(world):
            pending = world.send("/1", 10)
            await world.until(lambda: world.upstream.runs)
            world.break_links()
            await world.until(lambda: not world.entries[0].established)
            world.entries[0].withdraw(pending)
            await world.until(lambda: world.outcomes)
            self.assertIsInstance(world.outcomes["/1"], Answer)
            self.assertEqual(len(world.upstream.runs), 1)

        self.play(scenario)

    def test_a_call_that_arrives_after_its_withdrawal_does_not_start(self):
        # Its caller was told that it has not run.
        async def scenario(world):
            pending = world.send("/1", 10)
            await world.until(lambda: world.entries[0].established)
            (link,) = world.server.links
            link.handle_frame(wire.Frame(withdraw=wire.Withdraw(pending.number)))
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"], NotRun("withdrawn"))
            await asyncio.sleep(1)
            self.assertEqual(world.upstream.runs, [])

        self.play(scenario)


class MessageTests(BodiesCase):
    def test_invalid_messages_close_the_link_with_a_typed_error(self):
        # A body with a gap, or of another size than announced, must not run.
        async def scenario(world):
            world.send("/1", SIZE)
            await world.arrived("/1")
            (link,) = world.server.links
            entry = world.entries[0]
            for part in (
                wire.BodyPart(1, 3, b"x"),
                wire.BodyPart(1, None, b"x"),
                wire.BodyPart(1, 0, None),
                wire.BodyPart(1, SIZE, b"x"),
            ):
                frame = wire.Frame(body_part=part)
                self.assertRaises(MessageError, link.handle_frame, frame)
            for fetch in (wire.Fetch(1, 0, SIZE + 1), wire.Fetch(1, None, 5)):
                frame = wire.Frame(fetch=fetch)
                self.assertRaises(MessageError, entry.handle_frame, frame)
            for size in (0, -1, 1 << 30):
                frame = wire.Frame(call=wire.Call(2, headers=[], body_size=size))
                self.assertRaises(MessageError, link.handle_frame, frame)

        self.play(scenario)

    def test_bytes_are_not_sent_twice_on_one_link(self):
        # After a stall the home requests again what is still under way.
        body = OutgoingBody(bytes(3 * PART_BYTES))
        body.request(0, 2 * PART_BYTES)
        self.assertEqual([body.next_part()[0] for _ in range(2)], [0, PART_BYTES])
        body.request(0, 2 * PART_BYTES)
        self.assertIsNone(body.next_part())
        body.announced()
        body.request(PART_BYTES, 3 * PART_BYTES)
        self.assertEqual(body.next_part()[0], PART_BYTES)
        self.assertFalse(body.sent_whole)
        body.next_part()
        self.assertTrue(body.sent_whole)
