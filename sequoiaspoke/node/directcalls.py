"""The entry side of granted direct connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.core.routing.grants import Ask, Granted
from sequoiaspoke.core.routing.grants_entry import GrantEntry
from sequoiaspoke.errors import CallError, UpstreamShedError
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.client import Address, Pool, discard
from sequoiaspoke.node.grantheader import read_answer, write_message
from sequoiaspoke.node.loadheader import read_load

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.balancer import Balancer
    from sequoiaspoke.core.routing.grants_entry import Question
    from sequoiaspoke.core.rules.model import Endpoint
    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.node.home import Home, HomeCall
    from sequoiaspoke.settings.schema import Settings

POLL_SECONDS = 0.1  # between checks for grants to request or renew


class DirectCalls:
    """Run idempotent calls directly at upstreams of other VMs under grants."""

    def __init__(
        self,
        settings: Settings,
        home: Home,
        balancer: Balancer,
        mesh_pools: dict[Address, Pool],
    ) -> None:
        self.settings = settings
        self.home = home
        self.balancer = balancer
        self.mesh_pools = mesh_pools
        self.enabled = bool(settings.routing.grant_address)
        self.core = GrantEntry(settings.routing, settings.node.name)
        self.home_addresses: dict[str, Address] = {}
        self.upstream_pools: dict[str, Pool] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer_set = False

    def take(self, endpoint: Endpoint, call: HomeCall) -> int:
        """Take a slot for a direct call; return its grant, or 0 if there is none."""
        if not self.enabled:
            return 0
        self.home_addresses[endpoint.target] = Address(
            endpoint.address, endpoint.mesh_port
        )
        loop = asyncio.get_running_loop()
        if not self.timer_set:
            self.timer_set = True
            loop.call_later(POLL_SECONDS, self.send_due_questions)
        return self.core.take(endpoint.target, call.deadline, loop.time())

    async def run(self, grant: int, call: HomeCall) -> Answer:
        """Run a call directly at the upstream under a grant."""
        target = call.target
        try:
            answer = await self.home.send_to_upstream(call, self.upstream_pools[target])
        except BaseException as error:
            self.send(self.core.done(target, grant))
            if isinstance(error, UpstreamShedError):
                # The home does not see these answers. Direct calls would go on
                # to a draining upstream until the grant ends; the next call
                # through the home detects the drain at once.
                self.send(self.core.recalled(target))
            raise
        answer.on_close(lambda: self.send(self.core.done(target, grant)))
        return answer

    def send_due_questions(self) -> None:
        """Send the homes the requests for grants that are due."""
        self.timer_set = False
        loop = asyncio.get_running_loop()
        for question in self.core.due_questions(loop.time()):
            self.send(question)
        if self.core.held_grants:
            self.timer_set = True
            loop.call_later(POLL_SECONDS, self.send_due_questions)

    def send(self, question: Question | None) -> None:
        """Send a message to a home in the background."""
        if question is None:
            return
        task = asyncio.get_running_loop().create_task(self.exchange(question))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def exchange(self, question: Question) -> None:
        """Send a message to a home and process its answer."""
        target = question.target
        read = None
        try:
            answer = await self.post(question)
            read = read_answer(answer.headers.get(names.GRANT, ""))
            report = read_load(answer.headers)
            if report:
                now = asyncio.get_running_loop().time()
                self.balancer.report(target, report, now)
        except CallError:
            pass
        if not isinstance(question.message, Ask):
            return
        if read is None:
            self.send(self.core.failed(target))
            return
        if isinstance(read.answer, Granted):
            self.connect(target, read.address)
        self.send(self.core.answered(question, read.answer))

    async def post(self, question: Question) -> Answer:
        """Send a message and return its answer, whose headers are all of it."""
        address = self.home_addresses[question.target]
        if address not in self.mesh_pools:
            self.mesh_pools[address] = Pool(address, self.settings.limits)
        headers = HTTPHeaders({names.GRANT: write_message(question.message)})
        headers["Host"] = address.host
        start_line = RequestStartLine("GET", "/", "HTTP/1.1")
        deadline = asyncio.get_running_loop().time()
        deadline += self.settings.routing.grant_lease
        pool = self.mesh_pools[address]
        answer = await pool.call(start_line, headers, None, deadline)
        await discard(answer, deadline)
        return answer

    def connect(self, target: str, address: Address) -> None:
        """Keep a connection pool to a target's upstream."""
        pool = self.upstream_pools.get(target)
        if pool and pool.address == address:
            return
        if pool:
            pool.close()
        self.upstream_pools[target] = Pool(address, self.settings.limits)

    def retain(self, targets: frozenset[str]) -> None:
        """Drop targets that are gone, once no direct call runs there."""
        for target in self.core.held_grants.keys() - targets:
            self.core.forget(target)
        for target in self.upstream_pools.keys() - self.core.held_grants.keys():
            self.upstream_pools.pop(target).close()

    def close(self) -> None:
        """Close the idle connections to upstreams."""
        self.core.held_grants.clear()
        for pool in self.upstream_pools.values():
            pool.close()
