"""A minimal model engine that, unlike the stand-ins, sets TCP_NODELAY (as asyncio does by default)."""

import asyncio
import json
import threading
import time

TOKENS = 20
TOKEN_SECONDS = 0.002


def content_length(head):
    lines = [line for line in head.split("\r\n") if line.startswith("content-length:")]
    return int(lines[0].split(":")[1]) if lines else 0


async def stream(head, writer):
    ids = [line for line in head.split("\r\n") if line.startswith("x-request-id:")]
    lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream", "transfer-encoding: chunked", *ids]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for token in range(TOKENS):
        await asyncio.sleep(TOKEN_SECONDS)
        chunk = b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'
        if token == TOKENS - 1:
            chunk = b'data: {"usage":{"completion_tokens":%d}}\n\ndata: [DONE]\n\n' % TOKENS
        writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
    writer.write(b"0\r\n\r\n")


async def serve(reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            await reader.readexactly(content_length(head))
            if head.startswith("post /v1/chat"):
                await stream(head, writer)
                continue
            report = {"running": 0, "queued": 0, "generation": 1, "at_millis": int(time.time() * 1000)}
            body = json.dumps(report).encode()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


class Target:
    """Runs the engine on its own thread; `data` is its address."""

    def __init__(self):
        self.data = ""
        started = threading.Event()
        threading.Thread(target=lambda: asyncio.run(self.run(started)), daemon=True).start()
        started.wait()

    async def run(self, started):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.data = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        started.set()
        await server.serve_forever()
