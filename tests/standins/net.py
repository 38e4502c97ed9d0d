"""A network in memory: hosts, delays, cuts that reset or hold packets, hosts that crash."""

import random
from collections import deque
from datetime import timedelta

from badgerroute.transport.loop import Future, Loop

MS = timedelta(milliseconds=1)


class Pipe:
    """One direction of a connection."""

    def __init__(self, world: "World", source: str, target: str) -> None:
        self.world, self.source, self.target = world, source, target
        self.chunks: deque[bytes] = deque()
        self.ended = False
        self.broken = False
        self.wake = Future()
        self.last_arrival = timedelta(0)  # packets of one connection stay in order
        self.held: list[bytes | None] = []

    def send(self, data: bytes | None) -> None:
        """Send bytes, or None for the end of the stream."""
        if self.held or self.world.is_held(self.source, self.target):
            self.held.append(data)
            self.world.pipes_holding_data[self] = None
            return
        loop = self.world.loop
        self.last_arrival = max(self.last_arrival, loop.now() + self.world.delay())
        loop.later(self.last_arrival - loop.now(), lambda: self._deliver(data))

    def _deliver(self, data: bytes | None) -> None:
        if data is None:
            self.ended = True
        else:
            self.chunks.append(data)
        self._notify()

    def release(self) -> None:
        held, self.held = self.held, []
        for data in held:
            self.send(data)

    def break_off(self) -> None:
        self.broken = True
        self._notify()

    def _notify(self) -> None:
        wake, self.wake = self.wake, Future()
        wake.set()

    async def receive(self) -> bytes:
        while True:
            if self.chunks:
                return self.chunks.popleft()
            if self.broken:
                raise ConnectionResetError("reset")
            if self.ended:
                return b""
            await self.wake


class VirtualStream:
    def __init__(self, incoming: Pipe, outgoing: Pipe) -> None:
        self.incoming, self.outgoing = incoming, outgoing
        self.closed = False

    async def read(self) -> bytes:
        if self.closed:
            raise ConnectionError("closed here")
        return await self.incoming.receive()

    async def write(self, data: bytes) -> None:
        if self.closed or self.outgoing.broken:
            raise ConnectionResetError("reset")
        self.outgoing.send(bytes(data))

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.outgoing.send(None)
            if self.incoming.world.resets:
                self.incoming.break_off()


class VirtualListener:
    def __init__(self, world: "World", address: str) -> None:
        self.world, self.address = world, address
        self.queue: deque[VirtualStream] = deque()
        self.wake = Future()

    def offer(self, stream: VirtualStream) -> None:
        self.queue.append(stream)
        self.wake.set()

    async def accept(self) -> VirtualStream:
        while not self.queue:
            self.wake = Future()
            await self.wake
        return self.queue.popleft()

    def close(self) -> None:
        if self.world.listeners.get(self.address) is self:
            del self.world.listeners[self.address]


class World:
    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.listeners: dict[str, VirtualListener] = {}
        self.streams: list[tuple[str, str, VirtualStream, VirtualStream]] = []
        self.cuts: dict[frozenset[str], str] = {}
        self.one_way_cuts: set[tuple[str, str]] = set()  # what the first sends to the second is held
        self.pipes_holding_data: dict[Pipe, None] = {}
        self.delay_factor = 1.0  # times the usual delay
        self.resets = True  # False: what is written into a connection that the other side closed vanishes

    def delay(self) -> timedelta:
        return MS * self.delay_factor * self.random.uniform(0.3, 2.5)

    def cut(self, one: str, other: str, mode: str) -> None:
        """`reset` breaks connections, `hold` delays what is sent until the cut is over."""
        self.cuts[frozenset((one, other))] = mode
        if mode == "reset":
            for source, target, near, far in self.streams:
                if frozenset((source, target)) == frozenset((one, other)):
                    near.incoming.break_off()
                    far.incoming.break_off()
                    near.outgoing.broken = far.outgoing.broken = True

    def heal(self, one: str, other: str) -> None:
        self.cuts.pop(frozenset((one, other)), None)
        holding, self.pipes_holding_data = self.pipes_holding_data, {}
        for pipe in holding:
            if self.is_held(pipe.source, pipe.target):
                self.pipes_holding_data[pipe] = None
            else:
                pipe.release()

    def cut_one_way(self, source: str, target: str) -> None:
        """What `source` sends is held until the cut is over; the other direction is whole."""
        self.one_way_cuts.add((source, target))

    def heal_one_way(self, source: str, target: str) -> None:
        self.one_way_cuts.discard((source, target))
        self.heal(source, target)

    def is_cut(self, one: str, other: str) -> bool:
        """Whether a new connection between the two fails: it needs both directions."""
        return frozenset((one, other)) in self.cuts or bool({(one, other), (other, one)} & self.one_way_cuts)

    def is_held(self, source: str, target: str) -> bool:
        return (source, target) in self.one_way_cuts or self.cuts.get(frozenset((source, target))) == "hold"

    def crash(self, host: str) -> None:
        """The host's process is gone: its listeners too, and its connections are reset."""
        for address in [one for one in self.listeners if one.partition(":")[0] == host]:
            del self.listeners[address]
        kept = []
        for source, target, near, far in self.streams:
            if host in (source, target):
                peer = far if source == host else near
                peer.incoming.break_off()
                peer.outgoing.broken = True
                near.closed = near.closed or source == host
                far.closed = far.closed or target == host
            else:
                kept.append((source, target, near, far))
        self.streams = kept

    def network(self, host: str) -> "HostNetwork":
        return HostNetwork(self, host)


class HostNetwork:
    """The network as one host sees it."""

    def __init__(self, world: World, host: str) -> None:
        self.world, self.host = world, host

    async def connect(self, address: str, limit: timedelta) -> VirtualStream:
        world = self.world
        target = address.partition(":")[0]
        await world.loop.sleep(world.delay())
        if world.is_cut(self.host, target):
            if world.is_held(self.host, target) or world.is_held(target, self.host):
                await world.loop.sleep(limit)
            raise ConnectionRefusedError("unreachable")
        listener = world.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError("refused")
        there, back = Pipe(world, self.host, target), Pipe(world, target, self.host)
        near, far = VirtualStream(back, there), VirtualStream(there, back)
        world.streams = [one for one in world.streams if not (one[2].closed and one[3].closed)]
        world.streams.append((self.host, target, near, far))
        listener.offer(far)
        return near

    def listen(self, address: str) -> VirtualListener:
        listener = VirtualListener(self.world, address)
        self.world.listeners[address] = listener
        return listener
