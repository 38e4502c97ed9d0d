"""TCP proxies on the loopback interface, one for each link, which drop, delay or refuse packets of each direction."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from badgerroute.transport.loop import Future, Loop
from badgerroute.transport.net import Stream, TcpListener, TcpNetwork, TcpStream
from tests.standins.loopback import LoopbackDay, LoopbackNetwork, LoopbackWorld


class Fault(Enum):
    """What happens to the packets of one direction of a link."""

    PASS = "pass"
    DROP = "drop"  # packets are held until the fault ends, as if a packet filter dropped them and TCP sent them again
    DELAY = "delay"
    REFUSE = "refuse"  # existing connections are reset, and new ones are refused


@dataclass
class Direction:
    """The current fault of one direction of a link."""

    fault: Fault = Fault.PASS
    delay: timedelta = timedelta(0)  # delay of each packet with Fault.DELAY
    changed: Future = field(default_factory=Future)

    def set(self, fault: Fault, delay: timedelta = timedelta(0)) -> None:
        self.fault, self.delay = fault, delay
        changed, self.changed = self.changed, Future()
        changed.set()


class LinkProxy:
    """Forwards connections from one host to a port, with a fault for each direction.

    `outbound` are packets from the host that connects, `inbound` are packets to it.
    """

    def __init__(self, loop: Loop, network: TcpNetwork, target: int) -> None:
        self._loop, self._network, self._target = loop, network, target
        self.outbound, self.inbound = Direction(), Direction()
        self.listener: TcpListener = network.listen("127.0.0.1:0")
        self.port: int = self.listener._sock.getsockname()[1]
        self._streams: list[TcpStream] = []
        self._task = loop.spawn(self._accept(), "proxy")

    def refusing(self) -> bool:
        """Return whether new connections are refused."""
        return Fault.REFUSE in (self.outbound.fault, self.inbound.fault)

    def close(self) -> None:
        self._task.cancel()
        self.reset()
        self.listener.close()

    def reset(self) -> None:
        """Close every connection."""
        for stream in self._streams:
            stream.close()
        self._streams.clear()

    async def _accept(self) -> None:
        while True:
            near = await self.listener.accept()
            self._streams.append(near)
            self._loop.spawn(self._connect(near), "proxy-connect")

    async def _connect(self, near: TcpStream) -> None:
        await self._wait_until_passable(self.outbound)
        await self._wait_until_passable(self.inbound)
        try:
            far = await self._network.connect(f"127.0.0.1:{self._target}", timedelta(seconds=1))
        except OSError:
            near.close()
            return
        self._streams.append(far)
        self._loop.spawn(self._forward(near, far, self.outbound), "proxy-there")
        self._loop.spawn(self._forward(far, near, self.inbound), "proxy-back")

    @staticmethod
    async def _wait_until_passable(direction: Direction) -> None:
        while direction.fault is Fault.DROP:
            await direction.changed

    async def _forward(self, source: Stream, target: Stream, direction: Direction) -> None:
        try:
            while data := await source.read():
                if direction.fault is Fault.DELAY:
                    await self._loop.sleep(direction.delay)
                await self._wait_until_passable(direction)
                await target.write(data)
        except (OSError, ValueError):
            pass
        finally:
            source.close()
            target.close()


class ProxiedWorld(LoopbackWorld):
    """The network of a run on real sockets, with a proxy on every link between two hosts."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.proxies: dict[tuple[str, str], LinkProxy] = {}  # (connecting host, accepting host) -> proxy

    def network(self, host: str) -> "ProxiedNetwork":
        return ProxiedNetwork(self, host)

    def proxy(self, source: str, address: str) -> LinkProxy:
        """Return the proxy for connections from a host to an address; create it at the first call."""
        key = (source, address.partition(":")[0])
        proxy = self.proxies.get(key)
        if proxy is None or proxy._target != self.ports[address]:
            faults = (proxy.outbound, proxy.inbound) if proxy is not None else None
            if proxy is not None:
                proxy.close()  # the accepting host was restarted and listens on another port
            proxy = self.proxies[key] = LinkProxy(self.loop, TcpNetwork(self.loop, self.poller), self.ports[address])
            if faults is not None:
                proxy.outbound, proxy.inbound = faults
        return proxy

    def set(self, source: str, target: str, fault: Fault, delay: timedelta = timedelta(0)) -> None:
        """Set the fault for packets from `source` to `target`, whichever of the two opened the connection."""
        for (opener, accepter), proxy in self.proxies.items():
            if (opener, accepter) in ((source, target), (target, source)):
                (proxy.outbound if opener == source else proxy.inbound).set(fault, delay)
                if fault is Fault.REFUSE:
                    proxy.reset()

    def close(self) -> None:
        for proxy in self.proxies.values():
            proxy.close()
        super().close()


class ProxiedNetwork(LoopbackNetwork):
    """The network interface of one host. All its connections go through proxies."""

    def __init__(self, world: ProxiedWorld, host: str) -> None:
        super().__init__(world)
        self._proxied, self._host = world, host

    async def connect(self, address: str, limit: timedelta) -> TcpStream:
        if address not in self._proxied.ports:
            raise ConnectionRefusedError("no listener at this address")
        proxy = self._proxied.proxy(self._host, address)
        if proxy.refusing():
            raise ConnectionRefusedError("refused by the proxy")
        return await TcpNetwork.connect(self, f"127.0.0.1:{proxy.port}", limit)


class ProxiedDay(LoopbackDay):
    """A run of a whole cluster on real sockets in real time, with a proxy on every link."""

    def _make_world(self, seed: int) -> None:
        self.world = ProxiedWorld(seed)
        self.loop = self.world.loop
        self.clock = self.loop.clock
