"""Peer links through a proxy with one route per directed pair of daemons.

Members learn one address per daemon, so all peers connect to the same listener. The listener
looks up which child process opened the connection and passes it to the route of that pair.
"""

import asyncio
import functools
import os
import pathlib

from coltsfoothead.testsupport import harness, proxy, proxyroute, webclient

__all__ = ["Mesh"]

# Columns of /proc/net/tcp: local address, remote address and inode.
_LOCAL, _REMOTE, _INODE = 1, 2, 9


class Mesh:
    """Peer links of daemons as routes of a proxy.

    The route `FROM>TO` carries the connections that daemon FROM opened to daemon TO.
    """

    def __init__(self, children: harness.Harness, peer_proxy: proxy.Proxy) -> None:
        self._children = children
        self._proxy = peer_proxy
        self._servers: list[asyncio.Server] = []

    async def add(self, name: str, target: str, others: list[str]) -> str:
        """Starts the listener in front of a daemon and returns the address of the listener.

        Parameters
        ----------
        name : str
            Name of the daemon.
        target : str
            Address at which the daemon listens for peers.
        others : list of str
            Names of the daemons that may connect.
        """
        for other in others:
            limits = dict.fromkeys(proxyroute.DIRECTIONS)
            self._proxy.routes[f"{other}>{name}"] = proxyroute.Route(target, limits)
        host, _ = webclient.split_address(target)
        server = await asyncio.start_server(functools.partial(self._accept, name), host, 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Closes the listeners; the routes belong to the proxy."""
        for server in self._servers:
            server.close()

    def set_cut(self, sender: str, receiver: str, heal: bool = False) -> None:
        """Cuts or heals one direction between two daemons, whichever opened the connection."""
        apply = self._proxy.heal if heal else self._proxy.cut
        apply(f"{sender}>{receiver}", "up")
        apply(f"{receiver}>{sender}", "down")

    async def _accept(self, name: str, reader, writer) -> None:
        sender = self._connecting_daemon(writer)
        route = self._proxy.routes.get(f"{sender}>{name}")
        if route is None:
            writer.transport.abort()
            return
        await route.accept(reader, writer)

    def _connecting_daemon(self, writer: asyncio.StreamWriter) -> str | None:
        """Returns the name of the process that opened a connection, or None if it has ended."""
        client = writer.get_extra_info("peername")[1]
        server = writer.get_extra_info("sockname")[1]
        inode = _socket_inode(client, server)
        for name, process in self._children.processes.items():
            if process.returncode is None and inode in _open_files(process.pid):
                return name
        return None


def _socket_inode(local_port: int, remote_port: int) -> str | None:
    expected_ports = (f"{local_port:04X}", f"{remote_port:04X}")
    for table in ("tcp", "tcp6"):
        for line in pathlib.Path("/proc/net", table).read_text().splitlines()[1:]:
            columns = line.split()
            ports = tuple(columns[each].rpartition(":")[2] for each in (_LOCAL, _REMOTE))
            if ports == expected_ports:
                return f"socket:[{columns[_INODE]}]"
    return None


def _open_files(pid: int) -> set[str]:
    folder = f"/proc/{pid}/fd"
    found = set()
    try:
        for name in os.listdir(folder):
            found.add(os.readlink(f"{folder}/{name}"))
    except OSError:
        pass  # A descriptor was closed or the process ended during the listing.
    return found
