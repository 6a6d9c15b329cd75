"""TCP links between entry instances that a test can cut, silence or slow down."""
import asyncio
import threading


class Link:
    """One direction of calls: from one instance to an address of another one."""

    def __init__(self, source, target, host, port):
        self.source = source
        self.target = target
        self.host = host
        self.port = port
        self.listen_port = 0
        self.forwards_requests = True
        self.forwards_replies = True
        self.delay = 0.0
        self.connections = set()


class Connection:
    """A connection through a link. Once it is lost, it stays silent for good while new ones work."""

    def __init__(self):
        self.is_lost = False


class Links:
    """All links of a fleet, forwarded on one thread."""

    def __init__(self):
        self.links = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def add(self, source, target, address):
        """Opens a link; returns the address to use in place of the target's own."""
        host, port = address.rsplit(":", 1)
        link = Link(source, target, host, int(port))
        asyncio.run_coroutine_threadsafe(self._listen(link), self.loop).result()
        self.links.append(link)
        return f"127.0.0.1:{link.listen_port}"

    async def _listen(self, link):
        server = await asyncio.start_server(lambda r, w: self._accept(link, r, w), "127.0.0.1", 0)
        link.listen_port = server.sockets[0].getsockname()[1]

    async def _accept(self, link, reader, writer):
        connection = Connection()
        link.connections.add(connection)
        try:
            # A cut link accepts and then passes nothing on, as a silent partition does.
            while not link.forwards_requests:
                await asyncio.sleep(0.02)
            up_reader, up_writer = await asyncio.open_connection(link.host, link.port)
            requests = self._pump(link, connection, "forwards_requests", reader, up_writer)
            replies = self._pump(link, connection, "forwards_replies", up_reader, writer)
            await asyncio.gather(requests, replies)
        except OSError:
            writer.close()
        finally:
            link.connections.discard(connection)

    async def _pump(self, link, connection, flag, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                while not getattr(link, flag):
                    await asyncio.sleep(0.01)
                if connection.is_lost:
                    continue
                if link.delay:
                    await asyncio.sleep(link.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not connection.is_lost:
                writer.close()

    def select(self, sources, targets):
        return [k for k in self.links if k.source in sources and k.target in targets]

    def set_between(self, side_a, side_b, is_up):
        """Cuts or restores all links between two groups, both ways."""
        for link in self.select(side_a, side_b) + self.select(side_b, side_a):
            link.forwards_requests = is_up
            link.forwards_replies = is_up

    def set_one_way(self, sources, targets, is_up):
        """Cuts or restores what flows from one group to the other; the opposite direction stays up."""
        for link in self.select(sources, targets):
            link.forwards_requests = is_up
        for link in self.select(targets, sources):
            link.forwards_replies = is_up

    def lose_connections(self, side_a, side_b):
        """Makes the open connections between two groups silent for good; new ones work."""
        for link in self.select(side_a, side_b) + self.select(side_b, side_a):
            for connection in list(link.connections):
                connection.is_lost = True

    def close(self):
        """Ends all forwarding."""
        async def cancel_all():
            tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        asyncio.run_coroutine_threadsafe(cancel_all(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def set_delay(self, seconds):
        for link in self.links:
            link.delay = seconds
