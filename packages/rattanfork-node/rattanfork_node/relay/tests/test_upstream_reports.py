"""Reports on upstreams between the nodes of callers and the gates."""

from rattanfork_core.advertised import UpstreamReport
from rattanfork_core.request import Outcome, Reason
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.peer import Run, RunReply
from rattanfork_node.relay import RelayPeerHandler
from rattanfork_node.relay.tests.fakes import GateHarness, RelayHarness, on_loop
from rattanfork_node.telemetry import Counters

ANSWERED, NOT_RUN = Outcome.ANSWERED, Outcome.NOT_RUN
REPORT = UpstreamReport("u1", 5, 3.0, False)
RUN = Run(
    1,
    "b1",
    "route/s",
    b"GET",
    b"/",
    b"",
    b"",
    b"id",
    2.5,
    900,
    True,
    False,
    False,
    1,
    "",
)


def _report_of(run: Run) -> UpstreamReport | None:
    if not run.upstream:
        return None
    return UpstreamReport(run.upstream, run.born, run.rate_limit, run.leaving)


@on_loop
async def test_run_carries_the_report_of_an_earlier_reply():
    """Guards against a restarted gate that nobody tells what it knew."""
    harness = RelayHarness(peers=1)
    [link] = harness.links
    harness.send_request(request_id="r1")
    link.reply(0, ANSWERED, status=200, **REPORT._asdict())
    harness.send_request(request_id="r2")
    assert _report_of(link.runs[0][0]) is None
    assert _report_of(link.runs[1][0]) == REPORT


@on_loop
async def test_refusal_without_a_report_keeps_the_report():
    """Guards against a gate without a state of its own that erases that of others."""
    harness = RelayHarness(peers=1)
    [link] = harness.links
    harness.send_request(request_id="r1")
    link.reply(0, ANSWERED, status=200, **REPORT._asdict())
    harness.send_request(request_id="r2")
    link.reply(1, NOT_RUN, Reason.TOO_LATE)
    harness.send_request(request_id="r3")
    assert _report_of(link.runs[-1][0]) == REPORT


@on_loop
async def test_response_without_a_report_removes_the_report():
    harness = RelayHarness(peers=1)
    [link] = harness.links
    harness.send_request(request_id="r1")
    link.reply(0, ANSWERED, status=200, **REPORT._asdict())
    harness.send_request(request_id="r2")
    link.reply(1, ANSWERED, status=200)
    harness.send_request(request_id="r3")
    assert _report_of(link.runs[2][0]) is None


@on_loop
async def test_peer_of_the_previous_build_gets_no_report():
    """Guards against a rolling upgrade that closes links between two builds."""
    harness = RelayHarness(peers=1)
    [link] = harness.links
    harness.send_request(request_id="r1")
    link.reply(0, ANSWERED, status=200, **REPORT._asdict())
    link.peer_level = 0
    harness.send_request(request_id="r2")
    assert _report_of(link.runs[1][0]) is None


@on_loop
async def test_request_over_the_limit_runs_at_another_instance():
    """Guards against refusals that reach callers while another instance has room."""
    harness = RelayHarness(peers=2, most_upstreams=2)
    exchange = harness.send_request()
    [(link, index)] = harness.runs
    link.reply(
        index, NOT_RUN, Reason.UPSTREAM_LIMIT, retry_elsewhere=True, **REPORT._asdict()
    )
    other, index = next(r for r in harness.runs if r[0] is not link)
    assert not other.runs[index][0].may_have_arrived
    other.reply(index, ANSWERED, status=200)
    assert exchange.output[0] == 200


class GateLink:
    """A link over which a peer sends runs to a gate."""

    connection_id = "c1"
    peer = "peer@b"
    is_writable = True

    def __init__(self, peer_level: int) -> None:
        self.peer_level = peer_level
        self.calls: dict = {}
        self.bodies: dict = {}
        self.replies: list[RunReply] = []

    def send_batched(self, message: RunReply) -> None:
        self.replies.append(message)


class HandlerHarness:
    """The handler of a gate, with one link to a peer."""

    def __init__(self, peer_level: int = 1) -> None:
        self.gate = GateHarness(slots=4)
        self.handler = RelayPeerHandler(
            self.gate.clock,
            self.gate.gate,
            ConfigurationHolder(lambda _: None),
            RevisionState(),
            Counters(),
        )
        self.link = GateLink(peer_level)
        self.handler.on_open(self.link)

    def receive(self, number: int, report: UpstreamReport | None = None) -> None:
        """Receive a run with a report."""
        run = RUN._replace(number=number, request_id=b"r%d" % number)
        if report is not None:
            run = run._replace(**report._asdict())
        self.handler.on_run(self.link, run)


def test_gate_applies_the_report_of_a_run_before_the_run():
    """Guards against a restarted gate that passes on the run that tells it better."""
    harness = HandlerHarness()
    harness.receive(1, UpstreamReport("u1", 0, -1.0, True))
    harness.receive(2)
    assert harness.gate.pool.connections == []
    assert {Reason(r.reason) for r in harness.link.replies} <= {
        Reason.LEAVING,
        Reason.NO_INSTANCE,
    }


def test_reply_carries_what_the_upstream_advertises():
    harness = HandlerHarness()
    harness.receive(1)
    harness.gate.answer(0, 200, rattanfork_rate_limit=b"2.5")
    [reply] = harness.link.replies
    assert (reply.upstream, reply.rate_limit, reply.leaving) == ("u1", 2.5, False)


def test_reply_to_the_previous_build_has_neither_report_nor_new_reason():
    """Guards against a reason that a node of the previous build does not know."""
    harness = HandlerHarness(peer_level=0)
    harness.receive(1)
    harness.gate.answer(0, 200, rattanfork_rate_limit=b"1")
    for number in range(2, 7):
        harness.receive(number)
    assert {r.upstream for r in harness.link.replies} == {""}
    refused = {Reason(r.reason) for r in harness.link.replies if r.outcome == NOT_RUN}
    assert refused == {Reason.SHED}
