"""What a node that relays by routes does with what other nodes ask."""

from collections import OrderedDict
from collections.abc import Callable

from rattanfork_core.atmostonce import ConnectionLedger
from rattanfork_core.clock import Clock
from rattanfork_core.request import CallResult, FenceVerdict
from rattanfork_core.request.importance import RANKS
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.member import MemberTask
from rattanfork_node.peer import (
    BurnRequest,
    Call,
    ConfigurationReply,
    ConfigurationRequest,
    EpochRequest,
    Fence,
    FenceKey,
    FenceReply,
    FrameError,
    PeerHandler,
    PeerLink,
    RulesRequest,
    Run,
    RunReply,
    SyncReply,
    SyncRequest,
    rules_reply,
)
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.telemetry import Counters

#: Connections whose runs are remembered after they are closed.
_MOST_LEDGERS = 2000


class RelayPeerHandler(PeerHandler):
    """Takes runs, fences, and questions about members and configuration.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    gate : Gate
        This node's gate.
    configuration : ConfigurationHolder
        The configuration in force.
    rules : RevisionState
        The ordered rules in force.
    counters : Counters
        What happened.
    """

    def __init__(
        self,
        clock: Clock,
        gate: Gate,
        configuration: ConfigurationHolder,
        rules: RevisionState,
        counters: Counters,
    ) -> None:
        self._clock = clock
        self._gate = gate
        self._configuration = configuration
        self._rules = rules
        self._counters = counters
        self._ledgers: OrderedDict[str, ConnectionLedger] = OrderedDict()
        self._links: set[PeerLink] = set()
        self._member: MemberTask | None = None

    @property
    def links(self) -> set[PeerLink]:
        """Accepted connections."""
        return self._links

    def connect(self, member: MemberTask) -> None:
        """Take the member task, which is made after this."""
        self._member = member

    def on_open(self, link: PeerLink) -> None:
        """Take note of an authenticated connection."""
        if link.connection in self._ledgers:
            raise FrameError("the connection's name is taken")
        self._links.add(link)
        self._ledgers[link.connection] = ConnectionLedger()
        if len(self._ledgers) > _MOST_LEDGERS:
            # A fence for a connection that is forgotten is answered
            # "unknown", never "not run".
            self._ledgers.popitem(last=False)

    def on_run(self, link: PeerLink, run: Run) -> None:
        """Give a run to the gate."""
        ledger = self._ledgers.get(link.connection)
        if ledger is None or not ledger.arrive(run.number):
            raise FrameError("a run's number is taken")
        if not 0 <= run.rank < RANKS:
            raise FrameError("rank out of range")
        job = Job(
            run.boot,
            run.route,
            run.method,
            run.target,
            run.block,
            run.body,
            run.request_id,
            run.rank,
            self._clock.now() + run.time_left / 1000,
            run.idempotent,
            run.repeated,
            self._replier(link, run.number, run.route),
            lambda: ledger.hand_over(run.number),
        )
        link.calls[run.number] = job
        self._gate.submit(job)

    def on_cancel(self, link: PeerLink, number: int) -> None:
        """Stop a run."""
        job = link.calls.get(number)
        if job is not None:
            self._gate.cancel(job)

    def on_fence(self, link: PeerLink, fence: Fence | FenceKey) -> None:
        """Fence and reply."""
        self._counters.events["fences"] += 1
        if isinstance(fence, FenceKey):
            raise FrameError("keys are not served here")
        ledger = self._ledgers.get(fence.connection)
        if ledger is None:
            verdicts = [FenceVerdict.UNKNOWN] * len(fence.calls)
        else:
            verdicts = ledger.fence(fence.calls)
        link.send(FenceReply(fence.number, [int(verdict) for verdict in verdicts]))

    def on_configuration(self, link: PeerLink, request: ConfigurationRequest) -> None:
        """Reply with the configuration held."""
        holder = self._configuration
        newer = holder.version > request.known
        document = holder.document if newer else b""
        link.send(ConfigurationReply(request.number, holder.version, document))

    def on_sync(self, link: PeerLink, request: SyncRequest) -> None:
        """Reply with the records that differ."""
        members = self._member.records_differing(request)
        link.send(SyncReply(request.number, members))

    def on_closed(self, link: PeerLink) -> None:
        """Stop the runs of a connection that is gone."""
        self._links.discard(link)
        for job in list(link.calls.values()):
            self._gate.cancel(job)

    def on_bad_frame(self, reason: str) -> None:
        """Count a frame that was refused."""
        self._counters.events["peer.bad-frame"] += 1

    def on_call(self, link: PeerLink, call: Call) -> None:
        """Refuse: calls with keys are served by nodes without routes."""
        raise FrameError("calls are not served here")

    def on_rules(self, link: PeerLink, request: RulesRequest) -> None:
        """Reply with the rules held."""
        link.send(rules_reply(self._rules, request))

    def on_burn(self, link: PeerLink, request: BurnRequest) -> None:
        """Refuse: no objectives are counted here."""
        raise FrameError("no totals are kept here")

    def on_epoch(self, link: PeerLink, request: EpochRequest) -> None:
        """Refuse: no keys are issued here."""
        raise FrameError("no keys are issued here")

    def _replier(
        self, link: PeerLink, number: int, operation: str
    ) -> Callable[[CallResult], None]:
        def reply(result: CallResult) -> None:
            link.calls.pop(number, None)
            link.send_soon(
                RunReply(
                    number,
                    int(result.outcome),
                    int(result.reason),
                    result.status,
                    result.block,
                    result.body,
                    result.retry_elsewhere,
                    float(self._gate.cut(operation)),
                    self._gate.busy,
                )
            )

        return reply
