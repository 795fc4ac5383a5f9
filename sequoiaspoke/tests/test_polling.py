"""Tests of timers that run only after the sockets have been read."""

import asyncio
import socket
import time

from testtools import TestCase

from sequoiaspoke.polling import (
    ITERATIONS,
    MAX_READ_AGE,
    MAX_ROUNDS,
    PolledCall,
    PolledTimeout,
    PolledTimer,
)

WAIT = 10.0  # seconds; only a failing test waits so long


def play(scenario):
    """Run a scenario with the event loop."""

    async def run():
        async with asyncio.timeout(WAIT):
            return await scenario(asyncio.get_running_loop())

    return asyncio.run(run())


async def run_call(callback, **options):
    """Run a polled call to its end."""
    done = asyncio.Event()

    def finish():
        callback()
        done.set()

    PolledCall(finish, **options)
    await done.wait()


class PolledTests(TestCase):
    def test_what_waits_in_a_backlog_is_read_before_the_callback(self):
        # Accepted and read by protocols, in two iterations.
        async def scenario(loop):
            seen = []

            class Reader(asyncio.Protocol):
                def connection_made(self, transport):
                    self.transport = transport

                def data_received(self, data):
                    seen.append(data)
                    self.transport.close()

            server = await loop.create_server(Reader, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            with socket.create_connection(address) as sock:
                sock.sendall(b"a")
                await run_call(lambda: seen.append("done"))
            server.close()
            await server.wait_closed()
            return seen

        self.assertEqual([b"a", "done"], play(scenario))

    def test_a_task_that_waits_for_what_was_read_runs_before_its_timeout(self):
        async def scenario(loop):
            near, far = socket.socketpair()
            with near, far:
                near.setblocking(False)
                reading = loop.create_task(loop.sock_recv(near, 1))
                await asyncio.sleep(0)
                far.sendall(b"a")
                time.sleep(0.02)
                async with PolledTimeout(-0.01):
                    return await reading

        self.assertEqual(b"a", play(scenario))

    def test_a_timeout_without_a_result_expires(self):
        async def scenario(loop):
            async with PolledTimeout(0.01):
                await asyncio.sleep(WAIT)

        self.assertRaises(TimeoutError, play, scenario)

    def test_a_loop_that_is_never_quiet_delays_no_callback(self):
        # A deferral until nothing is left to read would never end.
        async def scenario(loop):
            near, far = socket.socketpair()
            with near, far:
                far.sendall(b"a")
                loop.add_reader(near, lambda: None)
                await run_call(lambda: None)
                loop.remove_reader(near)

        play(scenario)

    def test_a_pause_between_two_iterations_starts_them_over(self):
        # What arrived in the pause has not been read.
        async def scenario(loop):
            iterations = []

            def count():
                iterations.append(None)
                loop.call_soon(count)

            loop.call_soon(count)
            loop.call_soon(loop.call_soon, time.sleep, 2 * MAX_READ_AGE)
            await run_call(lambda: None, iterations=4)
            return len(iterations)

        self.assertGreater(play(scenario), 5)

    def test_a_process_that_gets_no_processor_delays_a_callback_for_a_while(self):
        # Every iteration comes late: no read would ever be recent enough.
        async def scenario(loop):
            sleeps = []

            def pause():
                sleeps.append(time.sleep(1.2 * MAX_READ_AGE))
                loop.call_soon(pause)

            loop.call_soon(pause)
            await run_call(lambda: None, iterations=2)
            return len(sleeps)

        self.assertLessEqual(play(scenario), 2 * MAX_ROUNDS)

    def test_a_busy_loop_delays_a_callback_by_few_iterations(self):
        # The answers to calls that end with the process came after its kill.
        async def scenario(loop):
            sleeps = []

            def work():
                sleeps.append(time.sleep(0.6 * MAX_READ_AGE))
                loop.call_soon(work)

            loop.call_soon(work)
            await run_call(lambda: None)
            return len(sleeps)

        self.assertLess(play(scenario), ITERATIONS)

    def test_a_cancelled_timer_runs_no_callback(self):
        # Also one that was due, and has the sockets read.
        async def scenario(loop):
            seen = []
            early = PolledTimer(0.01, lambda: seen.append("early"))
            due = PolledTimer(0.0, lambda: seen.append("due"))
            early.cancel()
            while not isinstance(due.handle, PolledCall):
                await asyncio.sleep(0)
            due.cancel()
            await asyncio.sleep(0.03)
            return seen

        self.assertEqual([], play(scenario))
