"""One process's gRPC endpoint and its links to peers."""

import asyncio
import dataclasses
import itertools
import random

import grpc
import msgspec

from coltsfoothead.coordination.transport import calls, counters, errors, frames, outbox, session

__all__ = ["ADDRESS_PREFIX", "Links", "Settings"]

ADDRESS_PREFIX = "@"
"""Peers whose ID starts with this are known by address only; any member of the cluster answers."""

_SERVICE = "coltsfoothead.Peer"
_METHOD = "Exchange"
_FLUSH_POLL_SECONDS = 0.01
_CHANNEL_NUMBERS = itertools.count()
_REFUSALS = {
    error.__name__: error for error in (errors.StrangerError, errors.StaleIncarnationError)
}


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Bounds and times of the links.

    Notes
    -----
    With `idle_seconds` set, a link is opened when a frame is queued for the peer and closed once
    no frame went either way for that long. At rest a link costs 0.044% of a core at each end, so
    links to all of 1,200 members would take more than one core.
    """

    heartbeat_seconds: float = 1.0
    silence_seconds: float = 3.0
    backoff_first_seconds: float = 0.05
    backoff_most_seconds: float = 2.0
    queue_frames: int = 4096
    queue_bytes: int = 16 << 20
    batch_frames: int = 256
    batch_bytes: int = 256 << 10
    frame_bytes: int = 8 << 20
    running_calls: int = 1024
    stream_window: int = 64
    idle_seconds: float | None = None


class _Peer:
    """Outgoing link to one member."""

    def __init__(self, address, exchange):
        self.address = address
        self.exchange = exchange
        self.connected = False
        self.failed = False
        self.task = None

    @property
    def flushable(self):
        """Whether queued frames are expected to leave soon."""
        return len(self.exchange.outbox) > 0 and not self.failed


class Links:
    """Links of one process to its peers.

    Parameters
    ----------
    cluster_id : str
        Streams of other clusters are refused.
    member_id : str
        ID of this process.
    incarnation : int
        Grows with every start of this member; an older one of a known member is refused.
    listen : str
        ``ip:port`` to listen on; port 0 takes a free one.
    settings : Settings, optional
        Bounds and times.
    rng : random.Random, optional
        Source of the back-off jitter.

    Notes
    -----
    All methods belong to the event loop that ran `start`. Frames to a member without an address
    go back on the stream that it opened, so a peer that is reached through a proxy or is not yet
    a known member can be answered.
    """

    def __init__(self, cluster_id, member_id, incarnation, listen, settings=None, rng=None):
        self._hello = frames.Hello(cluster_id, member_id, incarnation)
        self._listen = listen
        self._settings = settings or Settings()
        self._random = rng or random.Random()
        self._tally = counters.Tally()
        self._registry = calls.Registry(self._tally)
        self._peers = {}
        self._accepted = {}
        self._incarnations = {}
        self._server = None

    @property
    def connected(self):
        """IDs of the peers whose outgoing link is up."""
        return frozenset(name for name, peer in self._peers.items() if peer.connected)

    async def start(self):
        """Listens and returns the bound ``ip:port``.

        Raises
        ------
        LinkError
            If the address cannot be bound.
        """
        self._server = grpc.aio.server(options=self._options() + [("grpc.so_reuseport", 0)])
        handler = grpc.stream_stream_rpc_method_handler(self._accept)
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(_SERVICE, {_METHOD: handler}),)
        )
        try:
            port = self._server.add_insecure_port(self._listen)
        except RuntimeError as error:
            raise errors.LinkError(f"cannot listen on {self._listen}: {error}") from error
        await self._server.start()
        return f"{self._listen.rpartition(':')[0]}:{port}"

    async def stop(self, grace):
        """Writes what is queued for at most `grace` seconds, then stops.

        A peer whose last connection attempt failed is not waited for.
        """
        deadline = asyncio.get_running_loop().time() + grace
        while any(peer.flushable for peer in self._peers.values()):
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(_FLUSH_POLL_SECONDS)
        tasks = [self._drop_peer(member_id) for member_id in list(self._peers)]
        tasks += [task for streams in self._accepted.values() for task in streams.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.stop(0)

    def set_peers(self, peers):
        """Replaces the peers and their addresses.

        Parameters
        ----------
        peers : Mapping[str, str]
            ``ip:port`` by member ID. This process's own ID is ignored.
        """
        wanted = {name: peers[name] for name in peers if name != self._hello.member_id}
        for member_id in self._peers.keys() - wanted.keys():
            self._drop_peer(member_id)
        for member_id, address in wanted.items():
            peer = self._peers.get(member_id)
            if peer is None:
                peer = self._peers[member_id] = _Peer(address, self._exchange())
            elif peer.address == address:
                continue
            else:
                peer.task.cancel()
                peer.exchange.link_lost()
                peer.address = address
            peer.task = asyncio.create_task(self._keep(member_id, peer, address))

    def send(self, member_id, channel, payload):
        """Queues a message and never blocks.

        Raises
        ------
        PeerUnknownError
            If the member has neither an address nor an open stream to this process.
        FrameTooLargeError
            If the payload is too large for one frame.
        """
        self._route(member_id).send(channel, payload)

    def on(self, channel, handler):
        """Calls ``handler(sender, payload)`` for each message of `channel`."""
        self._registry.channels[channel] = handler

    async def call(self, member_id, method, payload, timeout):
        """Sends a request and returns the response.

        Raises
        ------
        LinkTimeoutError
            If no response came within `timeout` seconds (`LinkLostError` if the link was lost).
        PeerUnknownError
            If the member is unknown.
        PeerRefusedError
            If the peer refused the link.
        RemoteError
            If the remote handler failed.
        """
        return await self._route(member_id).call(method, payload, timeout)

    def serve(self, method, handler):
        """Answers calls of `method` by ``await handler(sender, payload) -> bytes``."""
        self._registry.methods[method] = handler

    def stream(self, member_id, method, payload, silence_timeout):
        """Returns an asynchronous generator of the items that the peer streams.

        Closing the generator cancels the handler at the peer. Raises the same errors as `call`;
        `LinkTimeoutError` if no item came for `silence_timeout` seconds while waiting for one.
        """
        return self._route(member_id).stream(method, payload, silence_timeout)

    def serve_stream(self, method, handler):
        """Answers streams of `method` by the asynchronous generator ``handler(sender, payload)``.

        The generator is cancelled when the caller cancels or its link is lost.
        """
        self._registry.streams[method] = handler

    def counters(self):
        """Returns a frozen snapshot of the counters."""
        return self._tally.snapshot()

    def _options(self):
        most = self._settings.frame_bytes + self._settings.batch_bytes + (64 << 10)
        return [
            ("grpc.max_receive_message_length", most),
            ("grpc.max_send_message_length", most),
        ]

    def _exchange(self):
        box = outbox.Outbox(self._settings, self._tally)
        return calls.Exchange(self._registry, box, self._settings)

    def _route(self, member_id):
        peer = self._peers.get(member_id)
        # An answer goes back on the link that the question opened instead of opening another.
        on_demand = self._settings.idle_seconds is not None and peer and not peer.connected
        if member_id in self._accepted and (peer is None or on_demand):
            return next(reversed(self._accepted[member_id]))
        if peer is not None:
            return peer.exchange
        raise errors.PeerUnknownError(f"member {member_id!r} has no address and no open stream")

    def _drop_peer(self, member_id):
        peer = self._peers.pop(member_id)
        peer.task.cancel()
        peer.exchange.link_lost(errors.PeerUnknownError(f"member {member_id!r} was removed"))
        return peer.task

    async def _keep(self, member_id, peer, address):
        """Keeps a link to the peer, each time on a new connection."""
        delay = self._settings.backoff_first_seconds
        while True:
            if self._settings.idle_seconds is not None:
                await peer.exchange.outbox.filled()
            channel = self._open_channel(address)
            idle = False
            try:
                idle, refusal = await self._converse(member_id, peer, channel)
                peer.failed = not peer.connected
                if peer.connected:
                    delay = self._settings.backoff_first_seconds
            finally:
                peer.connected = False
                # A connection that went silent never finishes; it is not waited for.
                await channel.close(None)
            if idle:
                continue
            peer.exchange.link_lost(refusal)
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(delay * 2, self._settings.backoff_most_seconds)
            self._tally.reconnects += 1

    def _open_channel(self, address):
        # A local subchannel pool and a number that no other channel has make gRPC open a new
        # socket; otherwise it would reuse the connection that went silent.
        options = self._options() + [
            ("grpc.use_local_subchannel_pool", 1),
            ("coltsfoothead.channel", next(_CHANNEL_NUMBERS)),
            ("grpc.enable_retries", 0),
            ("grpc.enable_http_proxy", 0),
            ("grpc.service_config_disable_resolution", 1),
        ]
        scheme = "ipv6" if address.startswith("[") else "ipv4"
        return grpc.aio.insecure_channel(f"{scheme}:{address}", options=options)

    async def _converse(self, member_id, peer, channel):
        """Runs one stream until it ends; returns whether it was idle, and a refusal or None."""
        stream = channel.stream_stream(f"/{_SERVICE}/{_METHOD}")()
        idle = False
        try:
            async with asyncio.timeout(self._settings.silence_seconds):
                await stream.write(frames.encode(self._hello))
                answer = await stream.read()
            if answer is grpc.aio.EOF:
                return False, None
            remote_id = self._check_answer(member_id, frames.decode_opening(answer))
            peer.connected = True
            idle = await session.run(
                peer.exchange,
                remote_id,
                stream,
                grpc.aio.EOF,
                self._settings,
                self._tally,
                self._settings.idle_seconds,
            )
        except errors.PeerRefusedError as error:
            return False, error
        except (TimeoutError, grpc.RpcError, msgspec.MsgspecError, asyncio.InvalidStateError):
            return False, None
        except asyncio.CancelledError:
            # gRPC raises this as well when the peer ended the stream with status CANCELLED.
            if asyncio.current_task().cancelling():
                raise
            return False, None
        finally:
            stream.cancel()
        return idle, None

    def _check_answer(self, member_id, answer):
        match answer:
            case frames.Refusal(reason=reason, message=message):
                raise _REFUSALS.get(reason, errors.PeerRefusedError)(message)
            case frames.Hello():
                self._check(answer)
        if answer.member_id != member_id and not member_id.startswith(ADDRESS_PREFIX):
            self._tally.strangers_refused += 1
            raise errors.StrangerError(
                f"member {answer.member_id!r} answered at the address of {member_id!r}"
            )
        return answer.member_id

    def _check(self, hello):
        """Refuses strangers and old incarnations."""
        if hello.cluster_id != self._hello.cluster_id:
            self._tally.strangers_refused += 1
            raise errors.StrangerError(
                f"cluster {hello.cluster_id!r} of member {hello.member_id!r} is not "
                f"{self._hello.cluster_id!r}"
            )
        known = self._incarnations.get(hello.member_id, hello.incarnation)
        if hello.incarnation < known:
            self._tally.stale_refused += 1
            raise errors.StaleIncarnationError(
                f"incarnation {hello.incarnation} of member {hello.member_id!r} is older than "
                f"the known {known}"
            )
        if hello.incarnation > known:
            for task in self._accepted.pop(hello.member_id, {}).values():
                task.cancel()
        self._incarnations[hello.member_id] = hello.incarnation

    async def _accept(self, _, stream):
        """Serves one incoming stream."""
        try:
            async with asyncio.timeout(self._settings.silence_seconds):
                opening = await stream.read()
            if opening is grpc.aio.EOF:
                return
            hello = frames.decode_opening(opening)
        except (TimeoutError, msgspec.MsgspecError):
            return
        try:
            if not isinstance(hello, frames.Hello):
                raise errors.StrangerError("the first message is not a hello")
            self._check(hello)
        except errors.PeerRefusedError as error:
            await stream.write(frames.encode(frames.Refusal(type(error).__name__, str(error))))
            return
        await stream.write(frames.encode(self._hello))
        exchange = self._exchange()
        self._accepted.setdefault(hello.member_id, {})[exchange] = asyncio.current_task()
        try:
            await session.run(
                exchange, hello.member_id, stream, grpc.aio.EOF, self._settings, self._tally
            )
        finally:
            self._forget(hello.member_id, exchange)
            exchange.link_lost(errors.LinkLostError("the peer's stream ended"))

    def _forget(self, member_id, exchange):
        streams = self._accepted.get(member_id, {})
        streams.pop(exchange, None)
        if not streams:
            self._accepted.pop(member_id, None)
