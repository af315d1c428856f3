"""The command ``report accounts``."""

import json
from pathlib import Path

import pytest
from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.main import app
from rattanfork_core.trace.log_sampler import is_sampled
from typer.testing import CliRunner

ROOT = next(f"r{number}" for number in range(1000) if is_sampled(f"r{number}"))
REQUEST = {
    "timestamp": 100.5,
    "message_type": "rattanfork:request",
    "instance": "n1",
    "id": ROOT,
    "route": "lookup",
    "account": "acme",
    "outcome": "answered",
    "reason": "none",
    "status": 200,
    "ms": 40.0,
    "objective_ms": 80.0,
    "tries": [{}],
}
RUN = {
    "timestamp": 100.4,
    "message_type": "rattanfork:run",
    "instance": "n2",
    "id": f"{ROOT}.1",
    "operation": "lookup/claims",
    "outcome": "answered",
    "status": 200,
    "run_ms": 25.0,
}
COUNTED = {
    "timestamp": 105.0,
    "message_type": "rattanfork:counted",
    "instance": "n2",
    "lines_left_out": {"plain": 9},
}


def report(*arguments: object):
    return CliRunner().invoke(app, ["report", "accounts", *map(str, arguments)])


def write_log(path: Path, *records: dict) -> Path:
    path.write_text("".join(f"0.25 n1 {json.dumps(record)}\n" for record in records))
    return path


def test_tables_show_requests_and_slot_shares(tmp_path):
    """The lines of a request are in the logs of two nodes."""
    one = write_log(tmp_path / "n1.log", REQUEST)
    two = write_log(tmp_path / "n2.log", RUN, COUNTED)
    result = report(one, two)
    assert result.exit_code == 0
    row = "acme     16    16       0     0       0        claims 100.0%"
    assert f"00:01:40.000  {row}\n" in result.stdout
    assert f"\n{row}\n" in result.stdout
    assert "requests sent: from the sample" in result.stdout
    assert "lines left out, plain: 9" in result.stdout


def test_json_has_intervals_and_accounts(tmp_path):
    log = write_log(tmp_path / "n.log", REQUEST, RUN | {"run_ms": "x"})
    answer = json.loads(report("--json", log).stdout)
    assert answer["intervals"][0]["begins"] == 100.0
    assert answer["accounts"][0]["account"] == "acme"
    assert answer["malformed"] == 1


@pytest.mark.parametrize("records", [[], [REQUEST, RUN]])
def test_chart_is_written(records, tmp_path):
    picture = tmp_path / "accounts.png"
    result = report("--plot", picture, write_log(tmp_path / "n.log", *records))
    assert result.exit_code == 0
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_chart_that_cannot_be_written_is_bad_input(tmp_path):
    """Guards against a traceback for a file name that the command takes."""
    log = write_log(tmp_path / "n.log", REQUEST)
    result = report("--plot", tmp_path / "accounts.unknown", log)
    assert result.exit_code == BAD_INPUT
    assert "--plot" in result.stderr


def test_span_of_zero_is_bad_input(tmp_path):
    result = report("--every", "0", write_log(tmp_path / "n.log", REQUEST))
    assert result.exit_code == BAD_INPUT
    assert "--every: the span must be above 0" in result.stderr
