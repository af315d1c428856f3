"""A request that crashes workers reaches few of them, whatever its kind."""

import pytest
import uvloop
from rattanfork_soak.deadly_play import DeadlyPlay

#: Upstreams that such a request may reach, and seconds after the third crash within
#: which the last of them is reached.
_MAX_CRASHES = 6
_MAX_SPREAD_S = 3.0


@pytest.mark.parametrize("idempotent", [False, True], ids=["posting", "read"])
def test_deadly_request_reaches_few_upstreams_behind_proxies(idempotent, tmp_path):
    """Guards against a crash that is hidden by a device before the upstream."""
    play = DeadlyPlay(1, idempotent, 6.0, tmp_path)
    result = uvloop.run(play.run())
    assert len(result.crashes) <= _MAX_CRASHES
    third = result.crashes[2] if len(result.crashes) > 2 else float("inf")
    late = [at for at in result.crashes if at > third + _MAX_SPREAD_S]
    assert late == []
    assert result.sent > 0
