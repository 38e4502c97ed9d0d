"""A simulated network: hosts, delays, cuts that reset connections or hold packets, and hosts that crash."""

import random
from collections import deque
from datetime import timedelta

from badgerroute.transport.loop import Future, Loop

MS = timedelta(milliseconds=1)


class Pipe:
    """One direction of a connection, from host `source` to host `target`."""

    def __init__(self, world: "World", source: str, target: str) -> None:
        self.world, self.source, self.target = world, source, target
        self.chunks: deque[bytes] = deque()  # data that has arrived and has not been read yet
        self.ended = False  # the end of the stream has arrived
        self.broken = False  # the connection was reset
        self.wake = Future()  # is set when data, the end of the stream or a reset arrives
        self.last_arrival = timedelta(0)  # arrival time of the last packet; later packets never arrive before it
        self.held: list[bytes | None] = []  # packets sent while a cut holds them; None is the end of the stream

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
        """Send the packets that were held during a cut."""
        held, self.held = self.held, []
        for data in held:
            self.send(data)

    def break_off(self) -> None:
        """Reset the connection: its reader gets an error after it has read the data that had arrived."""
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
    """One side of a simulated connection."""

    def __init__(self, incoming: Pipe, outgoing: Pipe) -> None:
        self.incoming, self.outgoing = incoming, outgoing
        self.closed = False

    async def read(self) -> bytes:
        if self.closed:
            raise ConnectionError("this side has closed the connection")
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
    """Accepts simulated connections at one address."""

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
    """The whole simulated network, with the faults that tests inject."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.listeners: dict[str, VirtualListener] = {}
        # Connecting host, accepting host, and the stream of each.
        self.streams: list[tuple[str, str, VirtualStream, VirtualStream]] = []
        self.cuts: dict[frozenset[str], str] = {}  # the two hosts -> mode of the cut
        self.one_way_cuts: set[tuple[str, str]] = set()  # packets from the first host to the second are held
        self.pipes_holding_data: dict[Pipe, None] = {}  # a set in the order of insertion
        self.delay_factor = 1.0  # multiplies the delay of each packet
        self.resets = True  # False: sending to a side that has closed its connection causes no reset

    def delay(self) -> timedelta:
        return MS * self.delay_factor * self.random.uniform(0.3, 2.5)

    def cut(self, one: str, other: str, mode: str) -> None:
        """Cut the link between two hosts; new connections fail.

        Mode `reset` breaks the existing connections. Mode `hold` holds their packets until the link is healed.
        """
        self.cuts[frozenset((one, other))] = mode
        if mode == "reset":
            for source, target, near, far in self.streams:
                if frozenset((source, target)) == frozenset((one, other)):
                    near.incoming.break_off()
                    far.incoming.break_off()
                    near.outgoing.broken = far.outgoing.broken = True

    def heal(self, one: str, other: str) -> None:
        """End the cut between two hosts, and send the held packets unless another cut still holds them."""
        self.cuts.pop(frozenset((one, other)), None)
        holding, self.pipes_holding_data = self.pipes_holding_data, {}
        for pipe in holding:
            if self.is_held(pipe.source, pipe.target):
                self.pipes_holding_data[pipe] = None
            else:
                pipe.release()

    def cut_one_way(self, source: str, target: str) -> None:
        """Hold packets from `source` to `target` until the link heals, but none in reverse; new connections fail."""
        self.one_way_cuts.add((source, target))

    def heal_one_way(self, source: str, target: str) -> None:
        self.one_way_cuts.discard((source, target))
        self.heal(source, target)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether a new connection between the two hosts fails. Connecting needs both directions."""
        return frozenset((one, other)) in self.cuts or bool({(one, other), (other, one)} & self.one_way_cuts)

    def is_held(self, source: str, target: str) -> bool:
        """Return whether packets from `source` to `target` are held."""
        return (source, target) in self.one_way_cuts or self.cuts.get(frozenset((source, target))) == "hold"

    def crash(self, host: str) -> None:
        """Kill a host's process: its listeners disappear, and its connections are reset on the other side."""
        for address in [address for address in self.listeners if address.partition(":")[0] == host]:
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
    """The network interface of one host: opens connections and listens."""

    def __init__(self, world: World, host: str) -> None:
        self.world, self.host = world, host

    async def connect(self, address: str, limit: timedelta) -> VirtualStream:
        world = self.world
        target = address.partition(":")[0]
        await world.loop.sleep(world.delay())
        if world.is_cut(self.host, target):
            if world.is_held(self.host, target) or world.is_held(target, self.host):
                await world.loop.sleep(limit)
            raise ConnectionRefusedError("the link is cut")
        listener = world.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError("no listener at this address")
        outgoing, incoming = Pipe(world, self.host, target), Pipe(world, target, self.host)
        near, far = VirtualStream(incoming, outgoing), VirtualStream(outgoing, incoming)
        world.streams = [stream for stream in world.streams if not (stream[2].closed and stream[3].closed)]
        world.streams.append((self.host, target, near, far))
        listener.offer(far)
        return near

    def listen(self, address: str) -> VirtualListener:
        listener = VirtualListener(self.world, address)
        self.world.listeners[address] = listener
        return listener
