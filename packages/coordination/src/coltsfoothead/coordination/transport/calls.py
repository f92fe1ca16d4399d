"""Calls, server streams and one-way messages on top of frames, independent of gRPC."""

import asyncio
import itertools
import logging

from coltsfoothead.coordination.transport import errors, frames

__all__ = ["CALL_CHANNEL", "HandlerRegistry", "Multiplexer"]

CALL_CHANNEL = "call"
_LOG = logging.getLogger(__name__)


class HandlerRegistry:
    """Handlers of one process by channel and method, and its counters."""

    def __init__(self, recorder):
        self.recorder = recorder
        self.channel_handlers = {}
        self.call_handlers = {}
        self.stream_handlers = {}
        self.correlation_ids = itertools.count(1)

    def deliver(self, sender, frame):
        """Passes a one-way frame to the handler of its channel."""
        handler = self.channel_handlers.get(frame.channel)
        if handler is None:
            return
        try:
            handler(sender, frame.payload)
        except Exception:
            # A handler that raises must not close the link, which all channels share.
            self.recorder.handler_errors += 1
            _LOG.exception("handler of channel %s failed, sender %s", frame.channel, sender)


class _ServedStream:
    """Flow control and task of one stream that this process serves."""

    def __init__(self, credit):
        self.credit = credit
        self.credit_added = asyncio.Event()
        self.task = None


class Multiplexer:
    """Carries calls, streams and one-way messages in both directions over the link to one peer.

    Parameters
    ----------
    registry : HandlerRegistry
        Handlers of this process.
    outbox : outbox.Outbox
        Queue of frames to the peer.
    settings : links.Settings
        Limits on payloads, running calls and stream items.
    """

    def __init__(self, registry, outbox, settings):
        self.outbox = outbox
        self._registry = registry
        self._settings = settings
        self._pending_calls = {}
        self._stream_queues = {}
        self._served_streams = {}
        self._handler_tasks = set()

    @property
    def idle(self):
        """Whether no frame is queued and no call or stream runs in either direction."""
        return not (
            len(self.outbox) or self._pending_calls or self._stream_queues or self._handler_tasks
        )

    def send(self, channel, payload, correlation_id=0):
        """Queues one frame."""
        if len(payload) > self._settings.max_payload_bytes:
            raise errors.FrameTooLargeError(
                f"payload of {len(payload)} bytes on channel {channel!r}, "
                f"at most {self._settings.max_payload_bytes}"
            )
        self.outbox.put(frames.Frame(channel, correlation_id, payload))

    async def call(self, method, payload, timeout):
        """Sends a request and returns the response payload."""
        correlation_id = next(self._registry.correlation_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[correlation_id] = future
        try:
            self._put(correlation_id, frames.Request(method, payload))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            raise errors.LinkTimeoutError(f"no response to {method!r} within {timeout} s") from None
        finally:
            del self._pending_calls[correlation_id]

    async def stream(self, method, payload, silence_timeout):
        """Sends a request and yields the items that the peer streams."""
        correlation_id = next(self._registry.correlation_ids)
        window = self._settings.stream_window_items
        queue = self._stream_queues[correlation_id] = asyncio.Queue()
        ended = False
        try:
            self._put(correlation_id, frames.Request(method, payload, window))
            for sequence in itertools.count():
                message = await self._next_item(queue, method, silence_timeout)
                match message:
                    case frames.Item(sequence=received, payload=item) if received == sequence:
                        if sequence % (window // 2) == window // 2 - 1:
                            self._put(correlation_id, frames.Credit(window // 2))
                        yield item
                    case frames.End(item_count=item_count) if item_count == sequence:
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
            del self._stream_queues[correlation_id]
            if not ended:
                self._put(correlation_id, frames.Cancel())

    def receive(self, sender, frame):
        """Handles one frame from the peer."""
        self._registry.recorder.record_received(frame)
        if frame.channel != CALL_CHANNEL:
            self._registry.deliver(sender, frame)
            return
        correlation_id = frame.correlation_id
        message = frames.decode_call(frame.payload)
        match message:
            case frames.Request():
                self._serve_request(sender, correlation_id, message)
            case frames.Cancel() | frames.Credit():
                self._control_stream(correlation_id, message)
            case _ if correlation_id in self._stream_queues:
                self._stream_queues[correlation_id].put_nowait(message)
            case frames.Response(payload=payload):
                self._complete_call(correlation_id, payload)
            case frames.Failure(type_name=type_name, message=text):
                self._fail_call(correlation_id, errors.RemoteError(type_name, text))

    def handle_link_loss(self, error=None):
        """Fails the calls and streams whose request was sent; cancels the streams served here.

        Calls whose request is still queued stay pending and go out on the next link, unless an
        `error` is given, which fails them too.
        """
        queued = self.outbox.correlation_ids() if error is None else frozenset()
        error = error or errors.LinkLostError("the link was given up before the answer arrived")
        for correlation_id in self._pending_calls.keys() - queued:
            self._fail_call(correlation_id, error)
        for correlation_id in self._stream_queues.keys() - queued:
            self._stream_queues[correlation_id].put_nowait(error)
        for served in self._served_streams.values():
            served.task.cancel()

    def _put(self, correlation_id, message):
        self.send(CALL_CHANNEL, frames.encode(message), correlation_id)

    async def _next_item(self, queue, method, silence_timeout):
        try:
            async with asyncio.timeout(silence_timeout):
                return await queue.get()
        except TimeoutError:
            raise errors.LinkTimeoutError(
                f"no item of stream {method!r} within {silence_timeout} s"
            ) from None

    def _complete_call(self, correlation_id, payload):
        future = self._pending_calls.get(correlation_id)
        if future is not None and not future.done():
            future.set_result(payload)

    def _fail_call(self, correlation_id, error):
        future = self._pending_calls.get(correlation_id)
        if future is not None and not future.done():
            future.set_exception(error)

    def _serve_request(self, sender, correlation_id, request):
        if len(self._handler_tasks) >= self._settings.max_running_calls:
            text = f"{len(self._handler_tasks)} calls of member {sender} are running"
            self._put(correlation_id, frames.Failure("Overloaded", text))
            return
        if request.credit:
            served = _ServedStream(request.credit)
            task = asyncio.create_task(self._serve_stream(sender, correlation_id, request, served))
            served.task = task
            self._served_streams[correlation_id] = served
            task.add_done_callback(lambda _: self._served_streams.pop(correlation_id, None))
        else:
            task = asyncio.create_task(self._serve_call(sender, correlation_id, request))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _serve_call(self, sender, correlation_id, request):
        try:
            response = await self._get_handler(self._registry.call_handlers, request)(
                sender, request.payload
            )
            self._put(correlation_id, frames.Response(response))
        except Exception as error:
            self._put(correlation_id, frames.Failure(type(error).__name__, str(error)))

    async def _serve_stream(self, sender, correlation_id, request, served):
        sequence = 0
        items = None
        try:
            items = self._get_handler(self._registry.stream_handlers, request)(
                sender, request.payload
            )
            async for item in items:
                while sequence >= served.credit:
                    served.credit_added.clear()
                    await served.credit_added.wait()
                self._put(correlation_id, frames.Item(sequence, item))
                sequence += 1
            self._put(correlation_id, frames.End(sequence))
        except Exception as error:
            self._put(correlation_id, frames.Failure(type(error).__name__, str(error)))
        finally:
            if items is not None:
                await items.aclose()

    def _get_handler(self, handlers, request):
        if request.method not in handlers:
            raise errors.MethodUnknownError(f"method {request.method!r} is not served")
        return handlers[request.method]

    def _control_stream(self, correlation_id, message):
        served = self._served_streams.get(correlation_id)
        match message:
            case _ if served is None:
                pass
            case frames.Cancel():
                served.task.cancel()
            case frames.Credit(item_count=item_count):
                served.credit += item_count
                served.credit_added.set()
