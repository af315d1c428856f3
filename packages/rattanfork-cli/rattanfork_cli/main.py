"""Entry point of the command line ``rattanfork``."""

import typer
import yaml
from rattanfork_core.rules import RulesDocument
from rattanfork_core.settings import NodeSettings

from rattanfork_cli.commands import accounts, explain, logs, report, rules
from rattanfork_cli.documents import load_or_exit, read_text
from rattanfork_cli.http import call_admin_api
from rattanfork_cli.options import AsJson, File, Node
from rattanfork_cli.output import print_json, print_table

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operate rattanfork: rules, members, draining, logs and reports.",
    epilog=(
        "Exit status: 0 success; 1 failure or uncertain result; 2 invalid input, "
        "nothing changed; 4 conflict, another change was accepted first."
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
    """Validate settings or rules files without applying them.

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
    """Show the state and the counters of a node."""
    answer = call_admin_api(node, "/status")
    if as_json:
        print_json(answer)
        return
    rows = [
        [key, value] for key, value in answer.items() if not isinstance(value, dict)
    ]
    rows += [[key, f"{value:g}"] for key, value in answer["state"].items()]
    for kind, counts in answer["counters"].items():
        rows += [[f"{kind}: {name}", count] for name, count in counts.items()]
    print_table("Node", ["name", "value"], rows)


@app.command()
def members(node: Node, as_json: AsJson = False) -> None:
    """Show the members of the cluster, as one node knows them."""
    answer = call_admin_api(node, "/members")
    if as_json:
        print_json(answer)
        return
    columns = ["name", "service", "data_centre", "status", "ready", "slots"]
    rows = [[member[column] for column in columns] for member in answer]
    print_table("Members", columns, sorted(rows))


@app.command()
def drain(node: Node) -> None:
    """Drain a node: it takes no new requests, completes those in flight, and exits.

    Example: rattanfork drain --node 127.0.0.1:8103
    """
    call_admin_api(node, "/drain", "POST")
    print("draining")


if __name__ == "__main__":
    app()
