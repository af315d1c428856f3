"""The command ``report slots``."""

import json
from pathlib import Path

import pytest
from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.main import app
from rattanfork_core.trace.log_sampler import is_sampled
from typer.testing import CliRunner

ROOT = next(f"r{number}" for number in range(1000) if is_sampled(f"r{number}"))


def request(**fields: object) -> dict:
    defaults = {"timestamp": 100.5, "message_type": "rattanfork:request"}
    defaults |= {"instance": "n1", "id": ROOT, "route": "lookup", "service": "claims"}
    defaults |= {"outcome": "answered", "reason": "none", "status": 200, "ms": 40.0}
    return defaults | {"objective_ms": 80.0, "call": False, "tries": [{}]} | fields


def run(**fields: object) -> dict:
    defaults = {"timestamp": 100.4, "message_type": "rattanfork:run", "instance": "n2"}
    defaults |= {"id": f"{ROOT}.1", "operation": "lookup/claims", "reason": "none"}
    defaults |= {"outcome": "answered", "status": 200, "queued_ms": 4.0}
    return defaults | {"run_ms": 25.0} | fields


COUNTED = {
    "timestamp": 105.0,
    "message_type": "rattanfork:counted",
    "instance": "n2",
    "lines_left_out": {"plain": 9},
}


def report(*arguments: object):
    return CliRunner().invoke(app, ["report", "slots", *map(str, arguments)])


def write_log(path: Path, *records: dict) -> Path:
    path.write_text("".join(f"0.25 n1 {json.dumps(record)}\n" for record in records))
    return path


def test_tables_show_slot_time_requests_and_bad_runs(tmp_path):
    """The lines of a request are in the logs of two nodes."""
    shed = run(outcome="not-run", reason="shed", status=0, run_ms=None)
    one = write_log(tmp_path / "n1.log", request())
    two = write_log(tmp_path / "n2.log", run(), shed, COUNTED)
    result = report(one, two)
    assert result.exit_code == 0
    assert "00:01:40.000" in result.stdout
    assert "100.0%" in result.stdout
    assert "Runs that ended badly" in result.stdout
    assert "shed" in result.stdout
    assert "sample: 1 requests, 2 runs, 1/16 of all requests" in result.stdout
    assert "lines left out, plain: 9" in result.stdout
    assert "lost requests in the sample: 0 of 0" in result.stdout


def test_json_has_all_parts_and_the_useful_share(tmp_path):
    log = write_log(tmp_path / "n.log", request(ms=90.0), run(), COUNTED)
    answer = json.loads(report("--json", log).stdout)
    [service] = answer["services"]
    assert service["seconds"]["late"] == pytest.approx(0.4)
    assert service["useful_share"] == 0
    assert 0 < service["useful_bounds"][1] < 1
    assert answer["slots"][0]["service"] == "claims"
    assert answer["routes"][0]["result"] == "late"
    assert answer["bad_runs"] == []
    assert answer["missing"]["left_out"] == {"plain": 9}
    assert answer["lost_lines"] == {"all": 1, "sampled": 1, "expected": 0.0625}


def test_malformed_lines_are_counted(tmp_path):
    result = report(write_log(tmp_path / "n.log", run(run_ms="x"), run()))
    assert "lines with malformed fields: 1 of 2" in result.stdout


@pytest.mark.parametrize("records", [[], [request(), run(), run(timestamp=300.0)]])
def test_chart_is_written(records, tmp_path):
    picture = tmp_path / "slots.png"
    log = write_log(tmp_path / "n.log", *records)
    result = report("--plot", picture, log)
    assert result.exit_code == 0
    assert picture.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize("name", ["slots.unknown", "missing/slots.png"])
def test_chart_that_cannot_be_written_is_bad_input(name, tmp_path):
    """Guards against a traceback for a file name that the command takes."""
    log = write_log(tmp_path / "n.log", run())
    result = report("--plot", tmp_path / name, log)
    assert result.exit_code == BAD_INPUT
    assert "--plot" in result.stderr


def test_span_of_zero_is_bad_input(tmp_path):
    result = report("--every", "0", write_log(tmp_path / "n.log", run()))
    assert result.exit_code == BAD_INPUT
    assert "--every: the span must be above 0" in result.stderr
