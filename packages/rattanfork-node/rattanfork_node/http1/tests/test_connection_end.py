"""Tests of what is reported at the end of a client's connection."""

import pytest

from rattanfork_node.http1 import (
    CloseReason,
    ConnectionEnd,
    ConnectionEndObserver,
    RequestStage,
    UnansweredRequest,
)
from rattanfork_node.http1.tests.fakes import Client, request


class RecordingObserver(ConnectionEndObserver):
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.ends: list[ConnectionEnd] = []

    def on_unfinished(self, end: ConnectionEnd) -> None:
        self.ends.append(end)


def make_client() -> tuple[Client, RecordingObserver]:
    client, observer = Client(), RecordingObserver()
    client.server.ends = observer
    return client, observer


@pytest.mark.parametrize(
    ("close", "reason"),
    [
        (lambda c: None, CloseReason.CLIENT),
        (lambda c: c.close(), CloseReason.STOPPED),
        (lambda c: c.evict(), CloseReason.EVICTED),
        (lambda c: c.drop(), CloseReason.DROPPED),
    ],
)
def test_end_names_each_unanswered_request_its_stage_and_the_reason(close, reason):
    """Guards against a lost request of which no log tells who closed, and why."""
    client, observer = make_client()
    client.send(request(request_id="r1") + request(request_id="r2"))
    client.send(request(request_id="r3"))
    client.handled[0].on_give_up = lambda: None
    client.handled[1].respond(200)
    close(client.connection)
    client.connection.connection_lost(None)
    [end] = observer.ends
    assert end.reason is reason
    assert end.unanswered == [
        UnansweredRequest(b"r1", RequestStage.PASSED_ON),
        UnansweredRequest(b"r2", RequestStage.RESPONSE_READY),
        UnansweredRequest(b"r3", RequestStage.READ),
    ]


def test_unsent_response_at_the_close_is_reported():
    """Guards against a truncated response that counts as answered."""
    client, observer = make_client()
    client.send(request())
    client.handled[0].respond(200)
    client.transport.unsent_bytes = 900
    client.connection.drop()
    client.connection.connection_lost(None)
    [end] = observer.ends
    assert (end.unanswered, end.undelivered) == ([], 900)


def test_end_that_leaves_nothing_unfinished_is_not_reported():
    client, observer = make_client()
    client.send(request())
    client.handled[0].respond(200)
    client.server.leave()
    client.connection.connection_lost(None)
    assert observer.ends == []
