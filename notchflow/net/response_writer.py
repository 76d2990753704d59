"""Writes responses to a client connection, with backpressure on the node that a long one comes from."""

from __future__ import annotations

from notchflow.net.delivery import DeliveryProgress
from notchflow.net.exchange import REASON_PHRASES, ClientRequest, LocalReply, UpstreamResponse
from notchflow.net.request_reader import ConnectionOwner, RequestReader


class ResponseWriter(RequestReader):
    """The writing half of a client connection: each request is answered in turn."""

    __slots__ = ("paused", "chunked", "charged_output", "delivery")

    def __init__(self, frontend: ConnectionOwner) -> None:
        super().__init__(frontend)
        self.paused = False  # the client reads more slowly than the response arrives
        self.chunked = False  # the response in progress is framed in chunks
        self.charged_output = 0  # memory of what the client has not taken that is counted
        self.delivery = DeliveryProgress()

    # -- implemented by ClientConnection
    def _drop_queued(self) -> None:
        """Drops the requests that were pipelined before a close."""
        raise NotImplementedError

    # -- flow control
    def pause_writing(self) -> None:
        """asyncio: the client reads more slowly than the response arrives."""
        self.paused = True
        if self.transport is not None:
            self._charge_output(self.transport.get_write_buffer_size())
        if self.current is not None and self.current.active is not None:
            self.host.set_response_paused(self.current.active, True)

    def resume_writing(self) -> None:
        """asyncio: the client has caught up."""
        self.paused = False
        self.active_at = self.host.clock.loop_time()
        self.delivery.restart(self.active_at)
        self._charge_output(0)
        if self.current is not None and self.current.active is not None:
            self.host.set_response_paused(self.current.active, False)
        self._start_next()

    def _charge_unread(self, written: int) -> None:
        """Counts what the client has not taken. `written`: the size of the piece written last, which stays in
        memory whole until all of it is taken."""
        if self.paused and self.transport is not None:
            self._charge_output(max(self.transport.get_write_buffer_size(), written))

    def _charge_output(self, size: int) -> None:
        self.host.buffered_bytes += size - self.charged_output
        self.charged_output = size

    # -- responses
    def serve(self, request: ClientRequest, response: UpstreamResponse) -> None:
        """Answers with the response of a node."""
        self._write_response(request, 200, response.forwarded_headers, response.body, response.body_size)

    def refuse(self, request: ClientRequest, retry_after_ms: float) -> None:
        """Answers 503: nothing ran. `retry_after_ms`: when to retry, if positive."""
        if self.frontend.door is not None:
            self._send_local_reply(request, self.frontend.door.refused(retry_after_ms))
            return
        extra = [b"Retry-After: %.3f\r\n" % (retry_after_ms / 1e3)] if retry_after_ms > 0 else []
        self._write_response(request, 503, extra, [], 0)

    def fail(self, request: ClientRequest, status: int) -> None:
        """Answers that the request failed, which leaves open whether it ran."""
        if self.frontend.door is not None:
            self._send_local_reply(request, self.frontend.door.failed(status))
        else:
            self._write_response(request, status, [], [], 0)

    def answer(self, request: ClientRequest, reply: LocalReply) -> None:
        """Answers with a response that the gateway produced after its first call returned."""
        self._send_local_reply(request, reply)

    def _send_local_reply(self, request: ClientRequest, reply: LocalReply) -> None:
        self._write_response(request, reply.status, list(reply.headers), [reply.body], len(reply.body))

    def _write_response(
        self, request: ClientRequest, status: int, headers: list[bytes], body: list[bytes], size: int
    ) -> None:
        if self.transport is None or self.current is not request:
            return
        keep_alive = self._keeps_alive(request)
        end = b"\r\n" if keep_alive else b"Connection: close\r\n\r\n"
        self.transport.writelines(
            [
                b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b"
                % (status, REASON_PHRASES[status], b"".join(headers), size, end),
                *body,
            ]
        )
        self._charge_unread(size)
        self._response_sent(request, keep_alive, status)

    def _keeps_alive(self, request: ClientRequest) -> bool:
        # Pipelined requests have been read already: a close would lose them.
        return request.keep_alive and (
            bool(self.queued or self.unparsed) or not (self.host.lifecycle.draining or self.closing)
        )

    def _response_sent(self, request: ClientRequest, keep_alive: bool, status: int = 200) -> None:
        request.finish(status)
        self.current = None
        self.active_at = self.host.clock.loop_time()
        if self.transport is None:
            return
        if self.arriving is request:  # a client that is cut off while it sends may never see the response
            request.drop_body, request.keep_alive = True, keep_alive
            self.set_body_wanted(True)
        elif not keep_alive:  # a client that was offered keep-alive may be about to send the next request
            self._drop_queued()
            self.close()
        elif self.queued or self.unparsed:
            self._start_next()
        elif self.arriving is None:
            self.frontend.idle[self] = None

    def begin_stream(self, request: ClientRequest, response: UpstreamResponse) -> None:
        """Sends the head of a long response, and what there is of its body."""
        if self.transport is None:
            return
        self.chunked = response.length is None and request.chunks_allowed
        if response.length is None and not self.chunked:
            request.keep_alive = False
        framing = (
            b"Content-Length: %d\r\n" % response.length
            if response.length is not None
            else b"Transfer-Encoding: chunked\r\n"
            if self.chunked
            else b""
        )
        request.keep_alive = self._keeps_alive(request)
        self.transport.write(
            b"HTTP/1.1 200 OK\r\n%b%b%b\r\n"
            % (
                b"".join(response.forwarded_headers),
                framing,
                b"" if request.keep_alive else b"Connection: close\r\n",
            )
        )
        for data in response.body:
            self.stream(data)

    def stream(self, data: bytes) -> None:
        """Sends a part of a long response."""
        if self.transport is None:
            return
        if self.chunked:
            self.transport.writelines([b"%x\r\n" % len(data), data, b"\r\n"])
        else:
            self.transport.write(data)
        self._charge_unread(len(data))

    def end_stream(self, request: ClientRequest, complete: bool) -> None:
        """Ends a long response. One that is incomplete is cut off, so that the client can tell."""
        if self.transport is None:
            return
        if not complete:
            request.finish(502)
            self.transport.abort()
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._response_sent(request, request.keep_alive)
