"""Tests of the turns in which fragmented input is parsed."""

import asyncio

import pytest
from rattanfork_core.clock import ManualClock

from rattanfork_node.http1.input_pacer import FragmentMeter, InputPacer, PacedInput
from rattanfork_node.http1.tests.virtual_loop import VirtualTimeLoop

_SLICE_S = 0.001
#: Simulated turns take no time of the event loop: only the pauses do, three times as
#: long as the turns, and the share of a quarter becomes a third.
_SHARE_OF_PAUSES = 1 / 3


class SlowInput(PacedInput):
    """Input of several slices, each of which takes processor time."""

    def __init__(self, traffic: "Traffic", slices: int) -> None:
        self.traffic = traffic
        self.slices = slices

    def take_turn(self) -> bool:
        self.traffic.processor_time.advance(_SLICE_S)
        self.traffic.turns.append((self.traffic.loop.time(), self))
        self.slices -= 1
        return self.slices > 0


class FaultyInput(PacedInput):
    """Input whose parser raises."""

    def take_turn(self) -> bool:
        raise ValueError("malformed")


class Traffic:
    """A pacer in simulated time, and the turns that its sources have taken."""

    def __init__(self) -> None:
        self.processor_time = ManualClock()
        self.loop = VirtualTimeLoop(lambda _: None)
        self.errors: list[Exception] = []
        self.loop.set_exception_handler(
            lambda _, context: self.errors.append(context["exception"])
        )
        self.turns: list[tuple[float, SlowInput]] = []
        self.pacer = InputPacer(self.processor_time)

    def enqueue(self, slices: int) -> SlowInput:
        source = SlowInput(self, slices)
        self.pacer.enqueue(source)
        return source

    def run(self, act, seconds: float = 10.0) -> None:
        """Run ``act`` and what it has scheduled, for simulated seconds."""

        async def main() -> None:
            act()
            await asyncio.sleep(seconds)

        try:
            self.loop.run_until_complete(main())
        finally:
            self.loop.close()


def test_sources_take_turns_one_slice_at_a_time():
    """Guards against one connection that keeps all others waiting."""
    traffic, sources = Traffic(), []
    traffic.run(lambda: sources.extend(traffic.enqueue(3) for _ in range(4)))
    assert [source for _, source in traffic.turns] == sources * 3
    assert traffic.pacer.waiting == 0


@pytest.mark.parametrize("count", [1, 4, 100])
def test_share_of_the_time_does_not_grow_with_the_number_of_sources(count):
    """Guards against many connections that together take all processor time."""
    traffic = Traffic()
    traffic.run(lambda: [traffic.enqueue(10_000) for _ in range(count)], 4.0)
    assert len(traffic.turns) * _SLICE_S == pytest.approx(
        4.0 * _SHARE_OF_PAUSES, rel=0.05
    )
    times = [time for time, _ in traffic.turns]
    longest = max(times.count(time) for time in set(times)) * _SLICE_S
    assert longest <= 0.003


def test_source_that_comes_back_at_once_waits_for_the_pause():
    """Guards against input that arrives as fast as it is parsed."""
    traffic = Traffic()

    class Returning(SlowInput):
        def take_turn(self) -> bool:
            super().take_turn()
            traffic.loop.call_soon(traffic.pacer.enqueue, self)
            return False

    traffic.run(lambda: traffic.pacer.enqueue(Returning(traffic, 1)), 4.0)
    assert len(traffic.turns) * _SLICE_S == pytest.approx(
        4.0 * _SHARE_OF_PAUSES, rel=0.05
    )


def test_discarded_source_takes_no_more_turns():
    """Guards against bytes of a closed connection that are parsed."""
    traffic, sources = Traffic(), []

    def act() -> None:
        sources.extend(traffic.enqueue(10) for _ in range(2))
        traffic.loop.call_later(0.005, traffic.pacer.discard, sources[0])
        traffic.loop.call_later(0.005, traffic.pacer.discard, sources[0])

    traffic.run(act)
    assert sources[0].slices > 0
    assert sources[1].slices == 0


def test_source_that_raises_does_not_stop_the_others():
    """Guards against a fault of one connection that ends the turns of all."""
    traffic, sources = Traffic(), []

    def act() -> None:
        traffic.pacer.enqueue(FaultyInput())
        sources.append(traffic.enqueue(10))

    traffic.run(act)
    assert len(traffic.errors) == 1
    assert sources[0].slices == 0


def test_turns_begin_again_after_none_waited():
    """Guards against a pacer that stops once all input is parsed."""
    traffic, sources = Traffic(), []

    def act() -> None:
        sources.append(traffic.enqueue(2))
        traffic.loop.call_later(1.0, lambda: sources.append(traffic.enqueue(2)))

    traffic.run(act)
    assert [source.slices for source in sources] == [0, 0]


def test_large_pieces_make_up_for_small_ones():
    """Guards against a body that is slow to its end because of its first pieces."""
    meter = FragmentMeter()
    meter.record(100_000, 600_000)
    assert meter.is_fragmented
    meter.record(4, 128 << 10)
    assert not meter.is_fragmented


def test_plain_input_buys_no_fragments():
    """Guards against a large plain body that is followed by tiny chunks at once."""
    meter = FragmentMeter()
    meter.record(100, 100 << 20)
    meter.record(1000, 6000)
    assert meter.is_fragmented
