"""Runs a whole cluster in real time on real sockets. Its addresses are mapped to ports of the loopback interface."""

import random
from datetime import timedelta

from badgerroute.transport.clock import SystemClock
from badgerroute.transport.loop import Loop, SelectorPoller
from badgerroute.transport.net import TcpListener, TcpNetwork, TcpStream
from tests.standins.day import Day


class LoopbackWorld:
    """A network of real sockets that takes the place of the simulated `World`. It injects no faults."""

    def __init__(self, seed: int) -> None:
        self.poller = SelectorPoller()
        self.loop = Loop(SystemClock(), self.poller)
        self.random = random.Random(seed)
        self.ports: dict[str, int] = {}  # address -> port on the loopback interface
        self.listeners: list[TcpListener] = []

    def network(self, host: str) -> "LoopbackNetwork":
        return LoopbackNetwork(self)

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()


class LoopbackNetwork(TcpNetwork):
    """Connects over TCP to the loopback port that is mapped to an address."""

    def __init__(self, world: LoopbackWorld) -> None:
        super().__init__(world.loop, world.poller)
        self._world = world

    async def connect(self, address: str, limit: timedelta) -> TcpStream:
        port = self._world.ports.get(address)
        if port is None:
            raise ConnectionRefusedError("no listener at this address")
        return await super().connect(f"127.0.0.1:{port}", limit)

    def listen(self, address: str) -> TcpListener:
        listener = super().listen("127.0.0.1:0")
        self._world.ports[address] = listener._sock.getsockname()[1]
        self._world.listeners.append(listener)
        return listener


class LoopbackDay(Day):
    """A run of a whole cluster on real sockets in real time, within one process."""

    def _make_world(self, seed: int) -> None:
        self.world = LoopbackWorld(seed)
        self.loop = self.world.loop
        self.clock = self.loop.clock

    def close(self) -> None:
        """Stop everything and close all sockets."""
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
