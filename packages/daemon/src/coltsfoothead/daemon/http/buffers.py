"""Memory that the buffered answers of a process share."""

from coltsfoothead.daemon.http import errors

__all__ = ["Buffer", "BufferPool"]


class Buffer:
    """Body of one answer while it is buffered.

    It counts towards the limit of its pool until it is closed, also after its content was taken.

    Parameters
    ----------
    pool : BufferPool
    """

    def __init__(self, pool: "BufferPool") -> None:
        self._pool = pool
        self._data = bytearray()
        self._size = 0
        self._discarded = False
        self._taken = False

    @property
    def size(self) -> int:
        """Bytes that count towards the limit."""
        return self._size

    @property
    def taken(self) -> bool:
        """Whether the content has been taken, so that its memory cannot be reclaimed."""
        return self._taken

    def append(self, data: bytes) -> None:
        """Appends a part of the body.

        Raises
        ------
        UpstreamBrokeError
            If the memory of the pool was used up and this buffer was discarded.
        """
        if not self._discarded:
            self._data += data
            self._size += len(data)
            self._pool.count(self, len(data))
        self._ensure_kept()

    def take(self) -> bytes:
        """Returns the content; no more may be appended.

        Raises
        ------
        UpstreamBrokeError
            If this buffer was discarded.
        """
        self._ensure_kept()
        content = bytes(self._data)
        self._data.clear()
        self._taken = True
        return content

    def discard(self) -> None:
        """Frees the content, which can no longer be taken."""
        self._discarded = True
        self._data.clear()
        freed, self._size = self._size, 0
        self._pool.count(self, -freed)

    def close(self) -> None:
        """Frees the content and what it counts."""
        self.discard()
        self._pool.remove(self)

    def _ensure_kept(self) -> None:
        if self._discarded:
            raise errors.UpstreamBrokeError("the memory for buffered answers is used up")


class BufferPool:
    """Buffers of all answers that a process is receiving or passing on.

    Beyond the limit, the largest answer that is still being received is discarded: one without an
    end becomes the largest sooner or later, and smaller answers arrive undisturbed.

    Parameters
    ----------
    limit_bytes : int
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._buffers: set[Buffer] = set()
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes in all buffers."""
        return self._used_bytes

    def open(self) -> Buffer:
        """Returns a new buffer, which has to be closed."""
        buffer = Buffer(self)
        self._buffers.add(buffer)
        return buffer

    def remove(self, buffer: Buffer) -> None:
        """Removes a buffer that was closed."""
        self._buffers.discard(buffer)

    def count(self, buffer: Buffer, added_bytes: int) -> None:
        """Counts bytes that a buffer added or freed; discards the largest ones beyond the limit."""
        self._used_bytes += added_bytes
        while added_bytes > 0 and buffer.size and self._used_bytes > self._limit_bytes:
            receiving = (each for each in self._buffers if not each.taken)
            max(receiving, key=lambda each: each.size).discard()
