"""Commands on logs: trace of a request, summary and losses."""

import json
from pathlib import Path

import pytest
from rattanfork_cli.commands import report
from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.main import app
from typer.testing import CliRunner

REQUEST = {
    "timestamp": 100.5,
    "message_type": "rattanfork:request",
    "instance": "n1",
    "id": "r1",
    "route": "lookup",
    "outcome": "not-run",
    "reason": "shed-early",
    "status": 503,
    "thresholds": {"n2@b": [2.0, 0.1]},
}
COUNTED = {
    "timestamp": 105.0,
    "message_type": "rattanfork:counted",
    "instance": "n1",
    "lines_left_out": {"plain": 9},
}


def run(*arguments: object, **more: object):
    return CliRunner().invoke(app, [str(argument) for argument in arguments], **more)


def write_log(folder: Path, *records: dict) -> Path:
    path = folder / "node.log"
    path.write_text("noise\n" + "".join(f"{json.dumps(r)}\n" for r in records))
    return path


def test_trace_shows_decision_with_its_inputs(tmp_path):
    result = run("trace", "r1", write_log(tmp_path, COUNTED, REQUEST))
    assert result.exit_code == 0
    assert "00:01:40.500  n1  route lookup: not-run (shed-early)" in result.stdout
    assert "thresholds heard: n2@b 2 (0.1 s old)" in result.stdout


def test_trace_reads_standard_input(tmp_path):
    result = run("trace", "r1", "--json", input=json.dumps(REQUEST))
    assert json.loads(result.stdout)[0]["instance"] == "n1"


def test_trace_of_unknown_request_exits_with_status_1(tmp_path):
    result = run("trace", "r9", write_log(tmp_path, REQUEST))
    assert result.exit_code == 1
    assert "no log line mentions request 'r9'" in result.stderr


def test_missing_log_file_exits_with_status_2_and_one_line(tmp_path):
    result = run("trace", "r1", tmp_path / "none.log")
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1


def test_summary_counts_by_reason_and_shows_dropped_lines(tmp_path):
    path = write_log(tmp_path, REQUEST, REQUEST, COUNTED)
    result = run("logs", "summary", path, "--json")
    answer = json.loads(result.stdout)
    assert [(c["reason"], c["count"]) for c in answer["counts"]] == [("shed-early", 2)]
    assert answer["lines_left_out"] == {"plain": 9}
    assert "lines left out, plain: 9" in run("logs", "summary", path).stdout


def test_summary_rejects_span_of_zero(tmp_path):
    assert run("logs", "summary", write_log(tmp_path), "--every", 0).exit_code == 2


def test_losses_are_counted_by_cause_with_dropped_lines(tmp_path):
    result = run("report", "losses", write_log(tmp_path, REQUEST, COUNTED))
    assert result.exit_code == 0
    assert "Lost requests: 1" in result.stdout
    assert "shed-early" in result.stdout
    assert "n2@b" in result.stdout
    assert "lines left out, plain: 9" in result.stdout


def test_losses_are_plotted_to_image_file(tmp_path):
    picture = tmp_path / "losses.png"
    result = run("report", "losses", "--plot", picture, write_log(tmp_path, REQUEST))
    assert result.exit_code == 0
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_losses_reject_span_of_zero(tmp_path):
    result = run("report", "losses", "--every", "0", write_log(tmp_path, REQUEST))
    assert result.exit_code == 2
    assert "--every" in result.output


@pytest.mark.parametrize("name", ["losses.unknown", "missing/losses.png"])
def test_plot_that_cannot_be_written_is_bad_input(name, tmp_path):
    """Guards against a traceback for a file name that the command takes."""
    log = write_log(tmp_path, REQUEST)
    result = run("report", "losses", "--plot", tmp_path / name, log)
    assert result.exit_code == BAD_INPUT
    assert "--plot" in result.stderr


def test_burn_report_page_that_cannot_be_written_is_bad_input(tmp_path, monkeypatch):
    """Guards against a traceback for a file name that the command takes."""
    monkeypatch.setattr(report, "_burn_by_rules", lambda node: ([], {}))
    page = tmp_path / "missing" / "burn.html"
    result = run("report", "burn", "--node", "127.0.0.1:1", "--html", page)
    assert result.exit_code == BAD_INPUT
    assert "--html" in result.stderr
