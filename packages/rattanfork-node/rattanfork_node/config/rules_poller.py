"""Keeps the rules of a node up to date."""

import asyncio
from collections.abc import Callable
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member, Membership, holds_role
from rattanfork_core.revision import PollSchedule, RevisionState, RulesRecord
from rattanfork_core.revision.record import HEAD_KEY, history_key
from rattanfork_core.rules import FindingsError, RuleSet, load_rules
from rattanfork_core.settings import RulesSettings
from rattanfork_platform import Platform, PlatformDownError

from rattanfork_node.peer import LinkLostError, PeerPool, RulesReply
from rattanfork_node.telemetry import Counters, log_change

_ASK_INTERVAL = 0.2


class RulesPoller:
    """Learns accepted rules from the table and from peers.

    Explanation
    ===========

    A bounded few members of each data centre read the table; all others
    hear the number of the newest revision on the membership's datagrams and
    fetch it from a peer.  The table's read rate so depends on the number of
    data centres only.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of choices and jitter.
    state : RevisionState
        The rules in force.
    membership : Membership
        Who is there.
    pool : PeerPool
        Connections to other nodes.
    platform : Platform or None
        The table.
    settings : RulesSettings
        How rules are learned.
    counters : Counters
        What happened.
    newest : callable
        Returns the highest revision heard of on datagrams.
    on_changed : callable
        Told when other rules are in force.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        state: RevisionState,
        membership: Membership,
        pool: PeerPool,
        platform: Platform | None,
        settings: RulesSettings,
        counters: Counters,
        newest: Callable[[], int],
        on_changed: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._random = random
        self._state = state
        self._membership = membership
        self._pool = pool
        self._platform = platform
        self._settings = settings
        self._counters = counters
        self._newest = newest
        self._on_changed = on_changed
        self._reads = PollSchedule(clock, random, settings.read_interval)
        self._asks = PollSchedule(clock, random, _ASK_INTERVAL, max_interval=1.0)
        self._background: set[asyncio.Task] = set()

    def tick(self) -> None:
        """Start what is due; call several times a second."""
        wanted = not self._state.ready or self._is_reader()
        if self._platform is not None and self._reads.due() and wanted:
            self._reads.begin()
            self._start(self._read_table())
        behind = self._newest() > self._state.order
        if (behind or not self._state.ready) and self._asks.due():
            self._asks.begin()
            self._start(self._ask_peer())

    def read_soon(self) -> None:
        """Read the table now: an operator has just changed it."""
        self._reads.schedule_now()
        if self._platform is not None and self._reads.due():
            self._reads.begin()
            self._start(self._read_table())

    def close(self) -> None:
        """Stop."""
        for task in self._background:
            task.cancel()

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _is_reader(self) -> bool:
        me = self._membership.me
        same = (
            m.name
            for m in self._membership.present()
            if m.data_centre == me.data_centre
        )
        return holds_role(me.name, same, "rules", self._settings.readers)

    async def _read_table(self) -> None:
        succeeded = False
        try:
            record = await self._newer_in_table()
            rules = await self._load(record)
            self._took(self._state.receive_from_store(record, rules), "table")
            succeeded = True
        except PlatformDownError:
            self._counters.events["table.unanswered"] += 1
        except (ValueError, FindingsError) as error:
            self._counters.events["table.bad-row"] += 1
            log_change("bad_rules_row", error=str(error))
        finally:
            self._reads.end(succeeded)

    async def _newer_in_table(self) -> RulesRecord | None:
        row = await self._platform.read(HEAD_KEY)
        if not row.version:
            return None
        head = RulesRecord.from_row(row.value)
        if head.order <= self._state.order:
            return None
        row = await self._platform.read(history_key(head.revision))
        return RulesRecord.from_row(row.value)

    async def _ask_peer(self) -> None:
        succeeded = False
        try:
            member = self._choose_peer()
            if member is not None:
                address = (member.host, member.peer_port)
                data_centre, reply = await self._pool.ask_rules(
                    address, self._state.order
                )
                await self._hear(data_centre, reply)
                succeeded = True
        except LinkLostError:
            self._counters.events["rules.peer-lost"] += 1
        except FindingsError as error:
            log_change("bad_rules_from_peer", error=str(error))
        finally:
            self._asks.end(succeeded)

    async def _load(self, record: RulesRecord | None) -> RuleSet | None:
        if record is None or record.order <= self._state.order:
            return None
        # A large document takes a second to read; on the event loop, every
        # call would wait for it.
        name = f"revision {record.revision}"
        return await asyncio.to_thread(load_rules, record.text, name)

    async def _hear(self, data_centre: str, reply: RulesReply) -> None:
        if not reply.ready:
            # It is as fresh as this node, and knows nothing.
            return
        record = RulesRecord(
            reply.revision,
            reply.operation,
            reply.author,
            reply.comment,
            reply.text,
            reply.era,
        )
        # Without text it is the revision this node holds already.
        newer = record if reply.text else None
        rules = await self._load(newer)
        self._took(self._state.receive_from_peer(data_centre, newer, rules), "peer")

    def _took(self, changed: bool, source: str) -> None:
        if changed:
            self._counters.events[f"rules.from-{source}"] += 1
            log_change("rules_in_force", revision=self._state.revision, source=source)
            self._on_changed()

    def _choose_peer(self) -> Member | None:
        me = self._membership.me
        others = [m for m in self._membership.present() if m.name != me.name]
        if not others:
            return None
        if not self._state.ready:
            # Another data centre each time, for one alone is not enough.
            centres = sorted({m.data_centre for m in others})
            centre = self._random.choice(centres)
            others = [m for m in others if m.data_centre == centre]
        return self._random.choice(others)
