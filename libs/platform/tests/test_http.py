"""Guards against misdirected responses and requests wrongly reported as not sent."""

import asyncio

import pytest
from result import Err, Ok
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from waxwingbarrow.platform import HttpSession
from waxwingbarrow.standins import serve


async def echo(request: Request) -> JSONResponse:
    data = await request.json()
    await asyncio.sleep(data["sleep_s"])
    return JSONResponse(data)


def make_app() -> Starlette:
    return Starlette(routes=[Route("/", echo, methods=["POST"])])


async def test_response_to_a_timed_out_request_never_reaches_the_next_one():
    session = HttpSession()
    async with serve(make_app()) as address:
        for number in range(5):
            for sleep_s, timeout_ms in ((0.0, 5_000), (0.2, 100)):
                data = {"number": number, "sleep_s": sleep_s}
                # A busy machine may take longer than 100 ms for any response.
                answer = await session.request(
                    "POST", f"http://{address}/", payload=data, timeout_ms=timeout_ms
                )
                if sleep_s:
                    assert isinstance(answer, Err)
                else:
                    assert answer.unwrap().read_json_object() == data
    await session.close()


async def test_cancellation_ends_a_request_at_every_step():
    session = HttpSession()
    async with serve(make_app()) as address:
        for steps in range(60):
            task = asyncio.create_task(
                session.request(
                    "POST",
                    f"http://{address}/",
                    payload={"sleep_s": 5},
                    timeout_ms=9000,
                )
            )
            for _ in range(steps):
                await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await asyncio.wait_for(task, 1)
    await session.close()


async def test_connection_closed_by_the_server_is_not_reused():
    """Guards against a request written to a connection that the server has closed."""
    session = HttpSession()
    payload = {"sleep_s": 0}
    async with serve(make_app()) as address:
        await session.request(
            "POST", f"http://{address}/", payload=payload, timeout_ms=500
        )
    await asyncio.sleep(0.02)
    match await session.request(
        "POST", f"http://{address}/", payload=payload, timeout_ms=500
    ):
        case Err(failure):
            assert failure.certainly_not_sent
        case Ok(_):
            pytest.fail("The server was down.")
    async with serve(make_app(), int(address.split(":")[1])) as address:
        answer = await session.request(
            "POST", f"http://{address}/", payload=payload, timeout_ms=500
        )
        assert answer.is_ok()
    await session.close()


async def test_connection_that_is_not_reused_is_closed_after_the_response():
    """Guards against connections that stay open to a server for nothing."""
    session = HttpSession(keep_alive=False)
    has_ended = asyncio.Event()

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            await reader.readuntil(b"{}")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
            assert await reader.read() == b""
            has_ended.set()
        finally:
            writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    answer = await session.request(
        "POST", f"http://127.0.0.1:{port}/", payload={}, timeout_ms=300
    )
    assert answer.unwrap().status == 200
    await asyncio.wait_for(has_ended.wait(), 1)
    await session.close()
    server.close()


async def test_repeated_refusal_is_not_taken_for_the_next_response():
    """Guards against a refusal that is written once more on a kept connection."""
    session = HttpSession()
    refusal = b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n"
    success = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
    replies = iter([refusal * 2, success])

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            while await reader.read(4096):
                writer.write(next(replies))
        finally:
            writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    statuses = []
    for _ in range(2):
        answer = await session.request("POST", url, payload={}, timeout_ms=300)
        statuses.append(answer.unwrap().status)
        await asyncio.sleep(0.02)
    assert statuses == [503, 200]
    await session.close()
    server.close()


BROKEN_RESPONSES = {
    "closed after reading": b"",
    "cut status line": b"HTTP/1.1 20",
    "cut headers": b"HTTP/1.1 200 OK\r\ncontent-le",
    # Guards against an empty answer that is taken for complete.
    "cut after the length": b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
    "cut body": b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
    "cut chunk header": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "cut chunk": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
    "bad chunk": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    "not HTTP": b"hello\r\n\r\n",
    # Guards against a status that no response has and that is taken for an answer.
    "status of zeros": b"HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\n{}",
    "status above the range": b"HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\n{}",
    "status of four digits": b"HTTP/1.1 0200 X\r\ncontent-length: 2\r\n\r\n{}",
}


@pytest.mark.parametrize("name", BROKEN_RESPONSES)
@pytest.mark.parametrize("abort", [False, True])
async def test_request_that_was_sent_is_never_reported_as_not_sent(
    name: str, abort: bool
):
    async def send_broken_response(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        try:
            await reader.read(1)
            writer.write(BROKEN_RESPONSES[name])
            await asyncio.sleep(0.02)
            if abort:
                writer.transport.abort()
        finally:
            writer.close()

    server = await asyncio.start_server(send_broken_response, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = HttpSession()
    for _ in range(3):
        answer = await session.request(
            "POST", f"http://127.0.0.1:{port}/", payload={}, timeout_ms=300
        )
        failure = answer.unwrap_err()
        assert not failure.certainly_not_sent
    await session.close()
    server.close()
