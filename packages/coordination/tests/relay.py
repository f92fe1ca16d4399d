"""TCP relay whose connections can be frozen."""

import asyncio


class Relay:
    """Forwards to `port`; `freeze` discards the data of the open connections; new ones work."""

    def __init__(self, port):
        self.port = port
        self.accepted_connections = 0
        self._generation = 0
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def freeze(self):
        self._generation += 1

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.accepted_connections += 1
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers += [writer, target_writer]
        generation = self._generation
        await asyncio.gather(
            self._forward(reader, target_writer, generation),
            self._forward(target_reader, writer, generation),
        )

    async def _forward(self, reader, writer, generation):
        try:
            while data := await reader.read(65536):
                if generation == self._generation:
                    writer.write(data)
            if generation == self._generation:
                writer.close()
        except OSError:
            writer.transport.abort()
