"""A proxy for one link between two controllers. It passes packets on, holds them, or refuses connections."""

import asyncio


class Link:
    """Connections from one controller to the mesh address of another."""

    def __init__(self, target: str) -> None:
        self._target, self.address = target, ""
        self._server: asyncio.Server | None = None
        self._healing: asyncio.Task[None] | None = None
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the same port again."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def hold(self) -> None:
        """Hold all packets back from now on."""
        self._open.clear()

    def refuse(self) -> None:
        """Reset the connections, and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Pass everything on again, what was held back first."""
        self._open.set()
        if self._server is None:
            self._healing = asyncio.get_running_loop().create_task(self.start())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(self._pass_on(reader, far_writer), self._pass_on(far_reader, writer))
        self._writers -= {writer, far_writer}

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
