"""Short run of a fleet whose nodes are stopped under load."""

import uvloop
from rattanfork_soak.stopped_nodes import StoppedNodes, StopSettings


def test_stopped_nodes_lose_no_request(tmp_path):
    """Guards against accepted requests without a response around planned work."""
    events = ("stop", "stop-twice", "reload-while-stopping", "configure")
    settings = StopSettings(seconds=3.0, events=events, interval=0.5)
    run = StoppedNodes(1, settings, tmp_path)
    violations = uvloop.run(run.run())
    assert violations == []
    assert run.stops >= 2
