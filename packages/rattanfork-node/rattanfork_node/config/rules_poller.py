"""Polls the rules table, for nodes whose store has no watches."""

import asyncio
from collections.abc import Callable
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member, Membership, holds_role
from rattanfork_core.revision import PollSchedule, RevisionState, RulesRecord
from rattanfork_core.revision.record import HEAD_KEY, ROW_FIELDS, history_key
from rattanfork_core.rules import FindingsError, RuleSet, load_rules
from rattanfork_core.settings import RulesSettings
from rattanfork_platform import Platform, PlatformDownError

from rattanfork_node.peer import LinkLostError, PeerPool, RulesReply
from rattanfork_node.telemetry import Counters, log_change

_PEER_POLL_INTERVAL_S = 0.2


class RulesPoller:
    """Fetches accepted rules from the table and from peers.

    Explanation
    ===========

    A bounded number of members of each data centre poll the table.  All others
    learn the newest revision from gossip and fetch it from a peer.  So the read rate
    of the table depends on the number of data centres, not on the fleet size.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of peer choices and jitter.
    state : RevisionState
        The rules in force.
    membership : Membership
        Membership view of this node.
    pool : PeerPool
        Connections to other nodes.
    platform : Platform or None
        Store that holds the table; None to use peers only.
    settings : RulesSettings
        Read interval and number of readers.
    counters : Counters
        Event counters.
    newest_revision : callable
        Returns the newest revision order seen in gossip.
    on_changed : callable
        Called after new rules have come into force.
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
        newest_revision: Callable[[], int],
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
        self._newest_revision = newest_revision
        self._on_changed = on_changed
        self._table_schedule = PollSchedule(clock, random, settings.read_interval)
        self._peer_schedule = PollSchedule(
            clock, random, _PEER_POLL_INTERVAL_S, max_interval=1.0
        )
        self._background: set[asyncio.Task] = set()

    def tick(self) -> None:
        """Start reads and peer requests that are due; call several times a second."""
        reads_table = not self._state.ready or self._is_reader()
        if self._platform is not None and self._table_schedule.due() and reads_table:
            self._table_schedule.begin()
            self._spawn(self._poll_table())
        outdated = self._newest_revision() > self._state.order
        if (outdated or not self._state.ready) and self._peer_schedule.due():
            self._peer_schedule.begin()
            self._spawn(self._fetch_from_peer())

    def read_soon(self) -> None:
        """Bring the next table read forward, after a change by an operator."""
        self._table_schedule.schedule_now()
        if self._platform is not None and self._table_schedule.due():
            self._table_schedule.begin()
            self._spawn(self._poll_table())

    def close(self) -> None:
        """Cancel the background tasks."""
        for task in self._background:
            task.cancel()

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _is_reader(self) -> bool:
        me = self._membership.me
        local_names = (
            m.name
            for m in self._membership.present()
            if m.data_centre == me.data_centre
        )
        return holds_role(me.name, local_names, "rules", self._settings.readers)

    async def _poll_table(self) -> None:
        succeeded = False
        try:
            record = await self._read_newer_record()
            rules = await self._parse_rules(record)
            self._report_change(self._state.receive_from_store(record, rules), "table")
            succeeded = True
        except PlatformDownError:
            self._counters.events["table.unanswered"] += 1
        except (ValueError, FindingsError) as error:
            self._counters.events["table.bad-row"] += 1
            log_change("bad_rules_row", error=str(error))
        finally:
            self._table_schedule.end(succeeded)

    async def _read_newer_record(self) -> RulesRecord | None:
        row = await self._platform.read(HEAD_KEY)
        if not row.version:
            return None
        head = RulesRecord.from_row(row.value)
        if head.order <= self._state.order:
            return None
        row = await self._platform.read(history_key(head.revision))
        return RulesRecord.from_row(row.value)

    async def _fetch_from_peer(self) -> None:
        succeeded = False
        try:
            member = self._select_peer()
            if member is not None:
                address = (member.host, member.peer_port)
                data_centre, reply = await self._pool.ask_rules(
                    address, self._state.order
                )
                await self._apply_reply(data_centre, reply)
                succeeded = True
        except LinkLostError:
            self._counters.events["rules.peer-lost"] += 1
        except (ValueError, FindingsError) as error:
            log_change("bad_rules_from_peer", error=str(error))
        finally:
            self._peer_schedule.end(succeeded)

    async def _parse_rules(self, record: RulesRecord | None) -> RuleSet | None:
        if record is None or record.order <= self._state.order:
            return None
        # Parsing a large document takes about a second, which would block the
        # event loop and every request on it.
        name = f"revision {record.revision}"
        return await asyncio.to_thread(load_rules, record.text, name)

    async def _apply_reply(self, data_centre: str, reply: RulesReply) -> None:
        if not reply.ready:
            # The peer has not loaded any rules yet either.
            return
        # A reply without text confirms the revision that this node holds.
        fields = {name: getattr(reply, name) for name in ROW_FIELDS}
        newer = RulesRecord.from_row(fields) if reply.text else None
        rules = await self._parse_rules(newer)
        self._report_change(
            self._state.receive_from_peer(data_centre, newer, rules), "peer"
        )

    def _report_change(self, changed: bool, source: str) -> None:
        if changed:
            self._counters.events[f"rules.from-{source}"] += 1
            log_change("rules_in_force", revision=self._state.revision, source=source)
            self._on_changed()

    def _select_peer(self) -> Member | None:
        me = self._membership.me
        others = [m for m in self._membership.present() if m.name != me.name]
        if not others:
            return None
        if not self._state.ready:
            # Start-up needs replies from several data centres; draw one uniformly.
            data_centres = sorted({m.data_centre for m in others})
            data_centre = self._random.choice(data_centres)
            others = [m for m in others if m.data_centre == data_centre]
        return self._random.choice(others)
