"""The stand-ins of a day on real sockets: addresses become ports of the loopback interface, and time is real."""

import random
from datetime import timedelta

from badgerroute.transport.clock import SystemClock
from badgerroute.transport.loop import Loop, SelectorPoller
from badgerroute.transport.net import TcpListener, TcpNetwork, TcpStream
from tests.standins.day import Day


class LoopbackWorld:
    """What a `World` is to a day; there are no faults here."""

    def __init__(self, seed: int) -> None:
        self.poller = SelectorPoller()
        self.loop = Loop(SystemClock(), self.poller)
        self.random = random.Random(seed)
        self.ports: dict[str, int] = {}
        self.listeners: list[TcpListener] = []

    def network(self, host: str) -> "LoopbackNetwork":
        return LoopbackNetwork(self)

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()


class LoopbackNetwork(TcpNetwork):
    """Real TCP, to whatever port an address was given."""

    def __init__(self, world: LoopbackWorld) -> None:
        super().__init__(world.loop, world.poller)
        self._world = world

    async def connect(self, address: str, limit: timedelta) -> TcpStream:
        port = self._world.ports.get(address)
        if port is None:
            raise ConnectionRefusedError("nobody listens there")
        return await super().connect(f"127.0.0.1:{port}", limit)

    def listen(self, address: str) -> TcpListener:
        listener = super().listen("127.0.0.1:0")
        self._world.ports[address] = listener._sock.getsockname()[1]
        self._world.listeners.append(listener)
        return listener


class LoopbackDay(Day):
    """A day on real sockets in real time, in one process."""

    def _make_world(self, seed: int) -> None:
        self.world = LoopbackWorld(seed)
        self.loop = self.world.loop
        self.clock = self.loop.clock

    def close(self) -> None:
        """Let go of every socket."""
        for controller, group in self.controllers.values():
            for leader in controller.leaders.values():
                leader.group.cancel()
            group.cancel()
        for worker in self.site.workers.values():
            worker.group.cancel()
        self.site.group.cancel()
        self.group.cancel()
        self.run(0.2)
        self.world.close()
