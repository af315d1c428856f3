"""The command ``rattanfork``."""

import typer
import yaml
from rattanfork_core.rules import RulesDocument
from rattanfork_core.settings import NodeSettings

from rattanfork_cli.commands import accounts, explain, logs, report, rules
from rattanfork_cli.documents import load_or_exit, read_text
from rattanfork_cli.http import ask_node
from rattanfork_cli.options import AsJson, File, Node
from rattanfork_cli.output import print_json, print_table

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operate rattanfork: rules, members, drain and reports.",
    epilog=(
        "Exit status: 0 done; 1 could not be carried out or is not certain; "
        "2 bad input, nothing done; 4 another change was accepted first."
    ),
)
app.add_typer(rules.app, name="rules")
app.add_typer(report.app, name="report")
app.add_typer(logs.app, name="logs")
app.command()(logs.trace)
app.command("explain")(explain.explain_request)
app.command("accounts")(accounts.show_accounts)


@app.command()
def check(files: list[File]) -> None:
    """Check documents of settings or rules; start and change nothing.

    Example: rattanfork check claims-1.yaml rules.yaml
    """
    for file in files:
        text = read_text(file)
        model = RulesDocument if _looks_like_rules(text) else NodeSettings
        load_or_exit(text, model, str(file))
        print(f"{file}: no findings")


def _looks_like_rules(text: str) -> bool:
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError:
        return False
    return isinstance(data, dict) and isinstance(data.get("rules"), list)


@app.command()
def status(node: Node, as_json: AsJson = False) -> None:
    """Show the state of one node."""
    answer = ask_node(node, "/status")
    if as_json:
        print_json(answer)
        return
    rows = [
        [key, value] for key, value in answer.items() if not isinstance(value, dict)
    ]
    rows += [[key, f"{value:g}"] for key, value in answer["state"].items()]
    for kind, counts in answer["counters"].items():
        rows += [[f"{kind}: {name}", count] for name, count in counts.items()]
    print_table("Node", ["what", "value"], rows)


@app.command()
def members(node: Node, as_json: AsJson = False) -> None:
    """Show the members as one node sees them."""
    answer = ask_node(node, "/members")
    if as_json:
        print_json(answer)
        return
    columns = ["name", "service", "data_centre", "status", "ready", "slots"]
    rows = [[member[column] for column in columns] for member in answer]
    print_table("Members", columns, sorted(rows))


@app.command()
def drain(node: Node) -> None:
    """Drain a node: no new work, all in flight finishes, then it ends.

    Example: rattanfork drain --node 127.0.0.1:8103
    """
    ask_node(node, "/drain", "POST")
    print("draining")


if __name__ == "__main__":
    app()
