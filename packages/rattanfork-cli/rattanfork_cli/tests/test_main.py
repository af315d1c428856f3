"""Command line: findings, one-line errors, exit statuses, help and JSON."""

import json
from pathlib import Path

import pytest
from rattanfork_cli.documents import dump_rules
from rattanfork_cli.main import app
from rattanfork_core.rules import RulesDocument, load_yaml_model
from typer.testing import CliRunner

RULES = """\
rules:
- {name: a, when: {service: claims}, then: {importance: high}}
- {name: b, then: {attempts: 1}}
"""
SETTINGS = """\
instance: w1
service: claims
data_centre: dc1
host: 127.0.0.1
edge_port: 1
peer_port: 2
gossip_port: 2
admin_port: 3
security: {key: "sixteen or more of them"}
"""


def run(*arguments: object):
    return CliRunner().invoke(app, [str(argument) for argument in arguments])


def write_document(folder: Path, text: str) -> Path:
    path = folder / "document.yaml"
    path.write_text(text)
    return path


@pytest.mark.parametrize("text", [RULES, SETTINGS])
def test_valid_document_has_no_findings(tmp_path, text):
    assert run("check", write_document(tmp_path, text)).exit_code == 0


def test_all_findings_of_settings_are_reported_together(tmp_path):
    text = SETTINGS.replace("edge_port: 1", "edge_port: 99999\nspeed: high")
    text = text.replace("admin_port: 3", "admin_port: 2")
    result = run("check", write_document(tmp_path, text))
    lines = [line.split("document.yaml:")[1] for line in result.stderr.splitlines()]
    assert result.exit_code == 2
    assert [line.split(":")[0] for line in lines] == ["5", "6"]


def test_equal_ports_are_reported(tmp_path):
    text = SETTINGS.replace("admin_port: 3", "admin_port: 2")
    result = run("check", write_document(tmp_path, text))
    assert result.exit_code == 2
    assert "must differ" in result.stderr


def test_missing_file_is_reported_in_one_line(tmp_path):
    result = run("check", tmp_path / "none.yaml")
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1


def test_unreachable_node_is_reported_in_one_line():
    result = run("status", "--node", "127.0.0.1:9")
    assert result.exit_code == 1
    assert len(result.stderr.splitlines()) == 1


def test_unreachable_table_is_reported():
    result = run("rules", "history", "--platform", "http://127.0.0.1:9")
    assert result.exit_code == 1
    assert "table does not answer" in result.stderr


def test_dumped_rules_load_to_equal_document():
    document = load_yaml_model(RULES, RulesDocument, "r")
    reloaded = load_yaml_model(dump_rules(document), RulesDocument, "r")
    assert reloaded == document


def test_help_shows_examples_and_exit_statuses():
    assert "Exit status" in run("--help").stdout
    assert "Example" in run("rules", "apply", "--help").stdout


def test_json_option_prints_response_as_json(monkeypatch):
    answer = {"nodes": [{"node": "w1", "revision": 3}], "members": 1, "unanswered": 0}
    monkeypatch.setattr(
        "rattanfork_cli.commands.rules.call_admin_api", lambda *a, **k: answer
    )
    result = run("rules", "status", "--node", "x", "--json")
    assert json.loads(result.stdout) == answer


def test_explain_accepts_options_of_its_example(monkeypatch):
    # Guards against declaring --service and --operation as positional arguments,
    # which rejects the example in the help text.
    answer = {"rule": "a", "revision": 3, "passed_over": []}
    monkeypatch.setattr(
        "rattanfork_cli.commands.rules.call_admin_api", lambda *a, **k: answer
    )
    options = ("--node", "x", "--service", "claims", "--operation", "file")
    assert run("rules", "explain", *options).stdout == "revision 3: a\n"
