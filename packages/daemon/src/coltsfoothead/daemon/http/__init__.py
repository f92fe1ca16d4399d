"""HTTP/1.1 server and client on h11 and asyncio streams."""
