"""The command line: clear errors, one line each, and documented statuses."""

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


def written(folder: Path, text: str) -> Path:
    path = folder / "document.yaml"
    path.write_text(text)
    return path


@pytest.mark.parametrize("text", [RULES, SETTINGS])
def test_sound_documents_have_no_findings(tmp_path, text):
    assert run("check", written(tmp_path, text)).exit_code == 0


def test_all_findings_of_settings_come_at_once(tmp_path):
    text = SETTINGS.replace("edge_port: 1", "edge_port: 99999\nspeed: high")
    text = text.replace("admin_port: 3", "admin_port: 2")
    result = run("check", written(tmp_path, text))
    lines = [line.split("document.yaml:")[1] for line in result.stderr.splitlines()]
    assert result.exit_code == 2
    assert [line.split(":")[0] for line in lines] == ["5", "6"]


def test_contradictions_are_found(tmp_path):
    text = SETTINGS.replace("admin_port: 3", "admin_port: 2")
    result = run("check", written(tmp_path, text))
    assert result.exit_code == 2
    assert "must differ" in result.stderr


def test_a_missing_file_is_one_line(tmp_path):
    result = run("check", tmp_path / "none.yaml")
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1


def test_a_node_that_does_not_answer_is_one_line():
    result = run("status", "--node", "127.0.0.1:9")
    assert result.exit_code == 1
    assert len(result.stderr.splitlines()) == 1


def test_a_table_that_does_not_answer_is_one_line():
    result = run("rules", "history", "--platform", "http://127.0.0.1:9")
    assert result.exit_code == 1
    assert "table does not answer" in result.stderr


def test_rules_survive_being_written_back():
    document = load_yaml_model(RULES, RulesDocument, "r")
    again = load_yaml_model(dump_rules(document), RulesDocument, "r")
    assert again == document


def test_help_has_examples_and_statuses():
    assert "Exit status" in run("--help").stdout
    assert "Example" in run("rules", "apply", "--help").stdout


def test_json_for_scripts_is_json(monkeypatch):
    answer = {"nodes": [{"node": "w1", "revision": 3}], "members": 1, "unanswered": 0}
    monkeypatch.setattr(
        "rattanfork_cli.commands.rules.ask_node", lambda *a, **k: answer
    )
    result = run("rules", "status", "--node", "x", "--json")
    assert json.loads(result.stdout) == answer


def test_explain_takes_the_options_that_its_example_shows(monkeypatch):
    # The example in help and pages was refused: both were arguments.
    answer = {"rule": "a", "revision": 3, "passed_over": []}
    monkeypatch.setattr(
        "rattanfork_cli.commands.rules.ask_node", lambda *a, **k: answer
    )
    options = ("--node", "x", "--service", "claims", "--operation", "file")
    assert run("rules", "explain", *options).stdout == "revision 3: a\n"
