"""Calls and server streams on top of frames, independent of gRPC."""

import asyncio
import itertools
import logging

from coltsfoothead.coordination.transport import errors, frames

__all__ = ["CALL_CHANNEL", "Exchange", "Registry"]

CALL_CHANNEL = "call"
_LOG = logging.getLogger(__name__)


class Registry:
    """Handlers of one process."""

    def __init__(self, tally):
        self.tally = tally
        self.channels = {}
        self.methods = {}
        self.streams = {}
        self.correlations = itertools.count(1)

    def deliver(self, sender, frame):
        """Passes a one-way frame to the handler of its channel."""
        handler = self.channels.get(frame.channel)
        if handler is None:
            return
        try:
            handler(sender, frame.payload)
        except Exception:
            # A faulty handler must not end the link that all channels share.
            self.tally.handler_errors += 1
            _LOG.exception("handler of channel %s failed, sender %s", frame.channel, sender)


class _ServedStream:
    """Serving side of one stream."""

    def __init__(self, credit):
        self.credit = credit
        self.more = asyncio.Event()
        self.task = None


class Exchange:
    """Both sides of the calls with one peer.

    Parameters
    ----------
    registry : Registry
        Handlers of this process.
    outbox : outbox.Outbox
        Where frames to the peer go.
    settings : links.Settings
        Bounds.
    """

    def __init__(self, registry, outbox, settings):
        self.outbox = outbox
        self._registry = registry
        self._settings = settings
        self._waiting = {}
        self._items = {}
        self._served = {}
        self._running = set()

    @property
    def idle(self):
        """Whether nothing is queued and no call or stream runs in either direction."""
        return not (len(self.outbox) or self._waiting or self._items or self._running)

    def send(self, channel, payload, correlation=0):
        """Queues one frame."""
        if len(payload) > self._settings.frame_bytes:
            raise errors.FrameTooLargeError(
                f"payload of {len(payload)} bytes on channel {channel!r}, "
                f"at most {self._settings.frame_bytes}"
            )
        self.outbox.put(frames.Frame(channel, correlation, payload))

    async def call(self, method, payload, timeout):
        """Sends a request and returns the response payload."""
        correlation = next(self._registry.correlations)
        future = asyncio.get_running_loop().create_future()
        self._waiting[correlation] = future
        try:
            self._put(correlation, frames.Request(method, payload))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            raise errors.LinkTimeoutError(f"no response to {method!r} within {timeout} s") from None
        finally:
            del self._waiting[correlation]

    async def stream(self, method, payload, silence_timeout):
        """Sends a request and yields the items of its stream."""
        correlation = next(self._registry.correlations)
        window = self._settings.stream_window
        queue = self._items[correlation] = asyncio.Queue()
        ended = False
        try:
            self._put(correlation, frames.Request(method, payload, window))
            for sequence in itertools.count():
                message = await self._next_item(queue, method, silence_timeout)
                match message:
                    case frames.Item(sequence=found, payload=item) if found == sequence:
                        if sequence % (window // 2) == window // 2 - 1:
                            self._put(correlation, frames.Credit(window // 2))
                        yield item
                    case frames.End(items=found) if found == sequence:
                        ended = True
                        return
                    case frames.Failure(type_name=type_name, message=text):
                        ended = True
                        raise errors.RemoteError(type_name, text)
                    case errors.LinkError():
                        ended = True
                        raise message
                    case _:
                        raise errors.LinkLostError(f"an item of stream {method!r} was lost")
        finally:
            del self._items[correlation]
            if not ended:
                self._put(correlation, frames.Cancel())

    def receive(self, sender, frame):
        """Handles one frame from the peer."""
        self._registry.tally.received(frame)
        if frame.channel != CALL_CHANNEL:
            self._registry.deliver(sender, frame)
            return
        correlation = frame.correlation
        message = frames.decode_call(frame.payload)
        match message:
            case frames.Request():
                self._serve(sender, correlation, message)
            case frames.Cancel() | frames.Credit():
                self._steer(correlation, message)
            case _ if correlation in self._items:
                self._items[correlation].put_nowait(message)
            case frames.Response(payload=payload):
                self._resolve(correlation, payload)
            case frames.Failure(type_name=type_name, message=text):
                self._fail(correlation, errors.RemoteError(type_name, text))

    def link_lost(self, error=None):
        """Fails what was sent on the lost link; frames still queued stay alive.

        An `error` fails the queued calls too.
        """
        queued = self.outbox.correlations() if error is None else frozenset()
        error = error or errors.LinkLostError("the link was given up before the answer arrived")
        for correlation in self._waiting.keys() - queued:
            self._fail(correlation, error)
        for correlation in self._items.keys() - queued:
            self._items[correlation].put_nowait(error)
        for served in self._served.values():
            served.task.cancel()

    def _put(self, correlation, message):
        self.send(CALL_CHANNEL, frames.encode(message), correlation)

    async def _next_item(self, queue, method, silence_timeout):
        try:
            async with asyncio.timeout(silence_timeout):
                return await queue.get()
        except TimeoutError:
            raise errors.LinkTimeoutError(
                f"no item of stream {method!r} within {silence_timeout} s"
            ) from None

    def _resolve(self, correlation, payload):
        future = self._waiting.get(correlation)
        if future is not None and not future.done():
            future.set_result(payload)

    def _fail(self, correlation, error):
        future = self._waiting.get(correlation)
        if future is not None and not future.done():
            future.set_exception(error)

    def _serve(self, sender, correlation, request):
        if len(self._running) >= self._settings.running_calls:
            text = f"{len(self._running)} calls of member {sender} are running"
            self._put(correlation, frames.Failure("Overloaded", text))
            return
        if request.credit:
            served = _ServedStream(request.credit)
            task = asyncio.create_task(self._serve_stream(sender, correlation, request, served))
            served.task = task
            self._served[correlation] = served
            task.add_done_callback(lambda _: self._served.pop(correlation, None))
        else:
            task = asyncio.create_task(self._serve_call(sender, correlation, request))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _serve_call(self, sender, correlation, request):
        try:
            answer = await self._find(self._registry.methods, request)(sender, request.payload)
            self._put(correlation, frames.Response(answer))
        except Exception as error:
            self._put(correlation, frames.Failure(type(error).__name__, str(error)))

    async def _serve_stream(self, sender, correlation, request, served):
        sequence = 0
        items = None
        try:
            items = self._find(self._registry.streams, request)(sender, request.payload)
            async for item in items:
                while sequence >= served.credit:
                    served.more.clear()
                    await served.more.wait()
                self._put(correlation, frames.Item(sequence, item))
                sequence += 1
            self._put(correlation, frames.End(sequence))
        except Exception as error:
            self._put(correlation, frames.Failure(type(error).__name__, str(error)))
        finally:
            if items is not None:
                await items.aclose()

    def _find(self, table, request):
        if request.method not in table:
            raise errors.MethodUnknownError(f"method {request.method!r} is not served")
        return table[request.method]

    def _steer(self, correlation, message):
        served = self._served.get(correlation)
        match message:
            case _ if served is None:
                pass
            case frames.Cancel():
                served.task.cancel()
            case frames.Credit(items=items):
                served.credit += items
                served.more.set()
