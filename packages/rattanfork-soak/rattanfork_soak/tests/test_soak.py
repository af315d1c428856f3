"""Short soaks of node processes, with seeds that have found faults before."""

import pytest
import uvloop
from rattanfork_soak import Soak, SoakSettings

#: Regression seeds, each with the fault that it found.
SEEDS = [
    1,
    # SIGHUP 0.1 s after the start of a node, before its handler was installed, ended
    # the process.
    23,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_short_soak_reports_no_violations(seed, tmp_path):
    """Node and worker crashes, pauses, drains and network faults overlap.

    Response and recovery times are not checked, as they depend on the machine's load.
    """
    settings = SoakSettings(seconds=5.0, nodes=3, clients=2, check_times=False)
    soak = Soak(seed, settings, tmp_path)
    violations = uvloop.run(soak.run())
    assert [str(violation) for violation in violations] == []
    assert soak.requests > 0
