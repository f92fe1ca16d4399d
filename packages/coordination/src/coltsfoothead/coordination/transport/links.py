"""gRPC endpoint of one process and its links to peers."""

import asyncio
import dataclasses
import itertools
import random

import grpc
import msgspec

from coltsfoothead.coordination.transport import calls, counters, errors, frames, outbox, session

__all__ = ["ADDRESS_PREFIX", "Links", "Settings"]

ADDRESS_PREFIX = "@"
"""Prefix of peer IDs that name an address only; any member of the cluster may answer there."""

_SERVICE = "coltsfoothead.Peer"
_METHOD = "Exchange"
_FLUSH_POLL_SECONDS = 0.01
_CHANNEL_NUMBERS = itertools.count()
_REFUSAL_ERRORS = {
    error.__name__: error for error in (errors.StrangerError, errors.StaleIncarnationError)
}


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Limits and timeouts of the links.

    Attributes
    ----------
    heartbeat_seconds : float
        Interval of heartbeats (empty batches) on a stream without other writes.
    silence_timeout_seconds : float
        A link is closed after this time without data from the peer; also limits the handshake.
    backoff_initial_seconds, backoff_max_seconds : float
        First and longest delay before a reconnection. The delay doubles after each failed attempt
        and is multiplied by a random factor from 0.5 to 1.
    max_queued_frames, max_queued_bytes : int
        Limits of the queue to one peer; beyond them the oldest frames are dropped.
    max_batch_frames, max_batch_bytes : int
        Limits of one stream message; a single larger frame makes up a batch of its own.
    max_payload_bytes : int
        Largest payload of one frame.
    max_running_calls : int
        Calls and streams of one peer that are served at a time on one link.
    stream_window_items : int
        Initial credit of a stream: items that may be sent before the caller grants more.
    idle_timeout_seconds : float or None
        A link is closed once no frame was sent or received for this time; None keeps links open.

    Notes
    -----
    With `idle_timeout_seconds` set, a link is opened when a frame is queued for the peer. An idle
    open link costs 0.044% of a core at each end, so links to all of 1,200 members would take more
    than one core.
    """

    heartbeat_seconds: float = 1.0
    silence_timeout_seconds: float = 3.0
    backoff_initial_seconds: float = 0.05
    backoff_max_seconds: float = 2.0
    max_queued_frames: int = 4096
    max_queued_bytes: int = 16 << 20
    max_batch_frames: int = 256
    max_batch_bytes: int = 256 << 10
    max_payload_bytes: int = 8 << 20
    max_running_calls: int = 1024
    stream_window_items: int = 64
    idle_timeout_seconds: float | None = None


class _Peer:
    """Outgoing link to one peer; its queue survives reconnections."""

    def __init__(self, address, multiplexer):
        self.address = address
        self.multiplexer = multiplexer
        self.connected = False
        self.last_attempt_failed = False
        self.task = None

    @property
    def flushable(self):
        """Whether frames are queued and the last connection attempt did not fail."""
        return len(self.multiplexer.outbox) > 0 and not self.last_attempt_failed


class Links:
    """Links of one process to its peers.

    Parameters
    ----------
    cluster_id : str
        ID of this cluster; streams of other clusters are refused.
    member_id : str
        ID of this process.
    incarnation : int
        Number that grows with every start of this member; peers refuse an incarnation that is
        older than the latest known one.
    listen_address : str
        ``ip:port`` to listen on; with port 0 the system chooses a free one.
    settings : Settings, optional
        Limits and timeouts.
    rng : random.Random, optional
        Random source for the back-off jitter.

    Notes
    -----
    All methods must be called in the event loop that ran `start`. Frames to a member without an
    address are sent on the stream that the member opened; thus responses reach a peer behind a
    proxy or one that is not yet a known member.
    """

    def __init__(self, cluster_id, member_id, incarnation, listen_address, settings=None, rng=None):
        self._hello = frames.Hello(cluster_id, member_id, incarnation)
        self._listen_address = listen_address
        self._settings = settings or Settings()
        self._rng = rng or random.Random()
        self._recorder = counters.CounterRecorder()
        self._registry = calls.HandlerRegistry(self._recorder)
        self._peers = {}
        self._accepted_streams = {}
        self._incarnations = {}
        self._server = None

    @property
    def connected_peers(self):
        """IDs of the peers whose outgoing link is up."""
        return frozenset(name for name, peer in self._peers.items() if peer.connected)

    async def start(self):
        """Starts to listen and returns the bound ``ip:port``.

        Raises
        ------
        LinkError
            If the address cannot be bound.
        """
        self._server = grpc.aio.server(options=self._channel_options() + [("grpc.so_reuseport", 0)])
        handler = grpc.stream_stream_rpc_method_handler(self._accept_stream)
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(_SERVICE, {_METHOD: handler}),)
        )
        try:
            port = self._server.add_insecure_port(self._listen_address)
        except RuntimeError as error:
            raise errors.LinkError(f"cannot listen on {self._listen_address}: {error}") from error
        await self._server.start()
        return f"{self._listen_address.rpartition(':')[0]}:{port}"

    async def stop(self, grace):
        """Sends queued frames for at most `grace` seconds, then closes all links and the endpoint.

        Frames queued for a peer whose last connection attempt failed are not waited for.
        """
        deadline = asyncio.get_running_loop().time() + grace
        while any(peer.flushable for peer in self._peers.values()):
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(_FLUSH_POLL_SECONDS)
        tasks = [self._remove_peer(member_id) for member_id in list(self._peers)]
        tasks += [task for streams in self._accepted_streams.values() for task in streams.values()]
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
            ``ip:port`` by member ID; the ID of this process is ignored.
        """
        addresses = {name: peers[name] for name in peers if name != self._hello.member_id}
        for member_id in self._peers.keys() - addresses.keys():
            self._remove_peer(member_id)
        for member_id, address in addresses.items():
            peer = self._peers.get(member_id)
            if peer is None:
                peer = self._peers[member_id] = _Peer(address, self._create_multiplexer())
            elif peer.address == address:
                continue
            else:
                peer.task.cancel()
                peer.multiplexer.handle_link_loss()
                peer.address = address
            peer.task = asyncio.create_task(self._maintain_link(member_id, peer, address))

    def send(self, member_id, channel, payload):
        """Queues a one-way message without blocking; it may be lost.

        Raises
        ------
        PeerUnknownError
            If the member has neither an address nor an open stream to this process.
        FrameTooLargeError
            If the payload is too large for one frame.
        """
        self._route(member_id).send(channel, payload)

    def on(self, channel, handler):
        """Registers ``handler(sender, payload)`` for the one-way messages of `channel`."""
        self._registry.channel_handlers[channel] = handler

    async def call(self, member_id, method, payload, timeout):
        """Sends a request and returns the response.

        Raises
        ------
        LinkTimeoutError
            If no response came within `timeout` seconds (`LinkLostError` if the link was lost).
        PeerUnknownError
            If the member is unknown.
        PeerRefusedError
            If the peer refused this process, or this process refused the peer.
        RemoteError
            If the remote handler failed.
        """
        return await self._route(member_id).call(method, payload, timeout)

    def serve(self, method, handler):
        """Registers ``async handler(sender, payload) -> bytes`` for calls of `method`."""
        self._registry.call_handlers[method] = handler

    def stream(self, member_id, method, payload, silence_timeout):
        """Returns an asynchronous generator of the items that the peer streams.

        Closing the generator cancels the handler at the peer.

        Raises
        ------
        LinkTimeoutError
            If no item came for `silence_timeout` seconds while waiting for one (`LinkLostError` if
            the link or an item was lost).
        PeerUnknownError, PeerRefusedError, RemoteError
            As in `call`.
        """
        return self._route(member_id).stream(method, payload, silence_timeout)

    def serve_stream(self, method, handler):
        """Registers an async generator ``handler(sender, payload)`` for streams of `method`.

        The generator is cancelled when the caller closes the stream or the link is lost.
        """
        self._registry.stream_handlers[method] = handler

    def counters(self):
        """Returns a frozen snapshot of the counters."""
        return self._recorder.snapshot()

    def _channel_options(self):
        max_message_bytes = (
            self._settings.max_payload_bytes + self._settings.max_batch_bytes + (64 << 10)
        )
        return [
            ("grpc.max_receive_message_length", max_message_bytes),
            ("grpc.max_send_message_length", max_message_bytes),
        ]

    def _create_multiplexer(self):
        queue = outbox.Outbox(self._settings, self._recorder)
        return calls.Multiplexer(self._registry, queue, self._settings)

    def _route(self, member_id):
        peer = self._peers.get(member_id)
        # A response uses the link that the request opened instead of opening another.
        on_demand = self._settings.idle_timeout_seconds is not None and peer and not peer.connected
        if member_id in self._accepted_streams and (peer is None or on_demand):
            return next(reversed(self._accepted_streams[member_id]))
        if peer is not None:
            return peer.multiplexer
        raise errors.PeerUnknownError(f"member {member_id!r} has no address and no open stream")

    def _remove_peer(self, member_id):
        peer = self._peers.pop(member_id)
        peer.task.cancel()
        peer.multiplexer.handle_link_loss(
            errors.PeerUnknownError(f"member {member_id!r} was removed")
        )
        return peer.task

    async def _maintain_link(self, member_id, peer, address):
        """Maintains a link to the peer; each attempt uses a new connection."""
        delay = self._settings.backoff_initial_seconds
        while True:
            if self._settings.idle_timeout_seconds is not None:
                await peer.multiplexer.outbox.wait_until_nonempty()
            channel = self._open_channel(address)
            idle = False
            try:
                idle, refusal = await self._run_stream(member_id, peer, channel)
                peer.last_attempt_failed = not peer.connected
                if peer.connected:
                    delay = self._settings.backoff_initial_seconds
            finally:
                peer.connected = False
                # A silent connection never completes its calls, so closing doesn't wait for them.
                await channel.close(None)
            if idle:
                continue
            peer.multiplexer.handle_link_loss(refusal)
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(delay * 2, self._settings.backoff_max_seconds)
            self._recorder.reconnects += 1

    def _open_channel(self, address):
        # A local subchannel pool and a unique option value make gRPC open a new socket;
        # otherwise it would reuse a connection that went silent.
        options = self._channel_options() + [
            ("grpc.use_local_subchannel_pool", 1),
            ("coltsfoothead.channel", next(_CHANNEL_NUMBERS)),
            ("grpc.enable_retries", 0),
            ("grpc.enable_http_proxy", 0),
            ("grpc.service_config_disable_resolution", 1),
        ]
        scheme = "ipv6" if address.startswith("[") else "ipv4"
        return grpc.aio.insecure_channel(f"{scheme}:{address}", options=options)

    async def _run_stream(self, member_id, peer, channel):
        """Runs one gRPC stream; returns whether it ended as idle, and the refusal error or None."""
        stream = channel.stream_stream(f"/{_SERVICE}/{_METHOD}")()
        idle = False
        try:
            async with asyncio.timeout(self._settings.silence_timeout_seconds):
                await stream.write(frames.encode(self._hello))
                reply = await stream.read()
            if reply is grpc.aio.EOF:
                return False, None
            remote_id = self._check_reply(member_id, frames.decode_handshake(reply))
            peer.connected = True
            idle = await session.run(
                peer.multiplexer,
                remote_id,
                stream,
                grpc.aio.EOF,
                self._settings,
                self._recorder,
                self._settings.idle_timeout_seconds,
            )
        except errors.PeerRefusedError as error:
            return False, error
        except (TimeoutError, grpc.RpcError, msgspec.MsgspecError, asyncio.InvalidStateError):
            return False, None
        except asyncio.CancelledError:
            # gRPC also raises this when the peer ended the stream with status CANCELLED.
            if asyncio.current_task().cancelling():
                raise
            return False, None
        finally:
            stream.cancel()
        return idle, None

    def _check_reply(self, member_id, reply):
        match reply:
            case frames.Refusal(reason=reason, message=message):
                raise _REFUSAL_ERRORS.get(reason, errors.PeerRefusedError)(message)
            case frames.Hello():
                self._check_hello(reply)
        if reply.member_id != member_id and not member_id.startswith(ADDRESS_PREFIX):
            self._recorder.strangers_refused += 1
            raise errors.StrangerError(
                f"member {reply.member_id!r} answered at the address of {member_id!r}"
            )
        return reply.member_id

    def _check_hello(self, hello):
        """Refuses peers of other clusters and old incarnations; records newer incarnations."""
        if hello.cluster_id != self._hello.cluster_id:
            self._recorder.strangers_refused += 1
            raise errors.StrangerError(
                f"cluster {hello.cluster_id!r} of member {hello.member_id!r} is not "
                f"{self._hello.cluster_id!r}"
            )
        known_incarnation = self._incarnations.get(hello.member_id, hello.incarnation)
        if hello.incarnation < known_incarnation:
            self._recorder.stale_incarnations_refused += 1
            raise errors.StaleIncarnationError(
                f"incarnation {hello.incarnation} of member {hello.member_id!r} is older than "
                f"the known {known_incarnation}"
            )
        if hello.incarnation > known_incarnation:
            for task in self._accepted_streams.pop(hello.member_id, {}).values():
                task.cancel()
        self._incarnations[hello.member_id] = hello.incarnation

    async def _accept_stream(self, _, stream):
        """Serves one incoming gRPC stream."""
        try:
            async with asyncio.timeout(self._settings.silence_timeout_seconds):
                handshake = await stream.read()
            if handshake is grpc.aio.EOF:
                return
            hello = frames.decode_handshake(handshake)
        except (TimeoutError, msgspec.MsgspecError):
            return
        try:
            if not isinstance(hello, frames.Hello):
                raise errors.StrangerError("the first message is not a hello")
            self._check_hello(hello)
        except errors.PeerRefusedError as error:
            await stream.write(frames.encode(frames.Refusal(type(error).__name__, str(error))))
            return
        await stream.write(frames.encode(self._hello))
        multiplexer = self._create_multiplexer()
        self._accepted_streams.setdefault(hello.member_id, {})[multiplexer] = asyncio.current_task()
        try:
            await session.run(
                multiplexer, hello.member_id, stream, grpc.aio.EOF, self._settings, self._recorder
            )
        finally:
            self._remove_accepted_stream(hello.member_id, multiplexer)
            multiplexer.handle_link_loss(errors.LinkLostError("the peer's stream ended"))

    def _remove_accepted_stream(self, member_id, multiplexer):
        streams = self._accepted_streams.get(member_id, {})
        streams.pop(multiplexer, None)
        if not streams:
            self._accepted_streams.pop(member_id, None)
