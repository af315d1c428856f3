"""Commands that show and change the rules."""

import asyncio
import difflib
from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar

import typer
from rattanfork_core.revision import CommitOutcome, CommitStatus, RulesRecord
from rattanfork_core.rules import RulesDocument, move_rule, retire_rule
from rattanfork_platform import PlatformDownError
from rattanfork_platform.connect import connect_platform
from returns.result import Result, Success

from rattanfork_cli.documents import dump_rules, load_or_exit, read_text
from rattanfork_cli.exits import BAD_INPUT, CONFLICT, FAILED
from rattanfork_cli.http import call_admin_api
from rattanfork_cli.options import AsJson, Author, Comment, File, Node, Platform
from rattanfork_cli.output import fail, print_json, print_table
from rattanfork_cli.rules_store import RulesStore

app = typer.Typer(no_args_is_help=True, help="Check, apply, reorder and retire rules.")

Answer = TypeVar("Answer")
Expected = Annotated[
    int | None,
    typer.Option(help="Fail unless this revision is the accepted one."),
]


def _run_with_store(
    url: str, work: Callable[[RulesStore], Awaitable[Answer]]
) -> Answer:
    async def run() -> Answer:
        try:
            platform = connect_platform(url)
        except ValueError as error:
            raise fail(str(error), BAD_INPUT) from None
        try:
            return await work(RulesStore(platform))
        finally:
            await platform.close()

    try:
        return asyncio.run(run())
    except PlatformDownError as error:
        raise fail(
            f"the table does not answer: {error}; check --platform", FAILED
        ) from None


def _report_commit(result: Result[RulesRecord, CommitOutcome]) -> None:
    if isinstance(result, Success):
        record = result.unwrap()
        print(f"accepted: revision {record.revision}")
        return
    outcome = result.failure()
    if outcome.status is CommitStatus.UNKNOWN:
        raise fail(
            "unknown result: the table stopped responding, and the change may have "
            "been accepted; see 'rattanfork rules history'",
            FAILED,
        )
    head = outcome.record
    accepted = (
        f"revision {head.revision} by {head.author or 'unknown'}: {head.comment}"
        if head
        else "another revision"
    )
    raise fail(
        f"conflict: {accepted} was accepted first; nothing was changed", CONFLICT
    )


def _change(
    url: str,
    edit: Callable[[RulesRecord], str],
    author: str,
    comment: str,
    expected: int | None,
) -> None:
    _report_commit(
        _run_with_store(url, lambda s: s.change(edit, author, comment, expected))
    )


@app.command()
def check(file: File) -> None:
    """Validate a rules file without applying it.

    Example: rattanfork rules check rules.yaml
    """
    document = load_or_exit(read_text(file), RulesDocument, str(file))
    print(f"{file}: {len(document.rules)} rules, no findings")


@app.command()
def apply(
    file: File,
    platform: Platform,
    author: Author = "operator",
    comment: Comment = "",
    expected: Expected = None,
) -> None:
    """Replace the accepted rules by a file; prints "accepted" once committed.

    Example: rattanfork rules apply rules.yaml --expected 4 -m "shed browsing"
    """
    text = read_text(file)
    load_or_exit(text, RulesDocument, str(file))
    _change(platform, lambda _: text, author, comment, expected)


@app.command()
def diff(file: File, platform: Platform) -> None:
    """Show the differences between the accepted rules and a file.

    The exit status is 0 also if there are differences.
    """
    text = read_text(file)
    load_or_exit(text, RulesDocument, str(file))
    _, head = _run_with_store(platform, lambda s: s.head())
    old, new = head.text.splitlines(), text.splitlines()
    names = (f"revision {head.revision}", str(file))
    for line in difflib.unified_diff(old, new, *names, lineterm=""):
        print(line)


@app.command()
def history(platform: Platform, count: int = 10, as_json: AsJson = False) -> None:
    """Show the last accepted changes."""

    async def work(store: RulesStore) -> list[RulesRecord]:
        _, head = await store.head()
        numbers = range(head.revision, max(0, head.revision - count), -1)
        revisions = [await store.revision(number) for number in numbers]
        return [record for record in revisions if record is not None]

    records = _run_with_store(platform, work)
    if as_json:
        print_json([record.as_row() for record in records])
        return
    rows = [[r.revision, r.author, r.comment, r.operation[:8]] for r in records]
    print_table("Accepted changes", ["revision", "author", "comment", "id"], rows)


@app.command()
def show(platform: Platform, revision: int | None = None) -> None:
    """Print the accepted rules, or those of a past revision."""

    async def work(store: RulesStore) -> RulesRecord | None:
        if revision is None:
            return (await store.head())[1]
        return await store.revision(revision)

    record = _run_with_store(platform, work)
    if record is None:
        raise fail(
            f"revision {revision} does not exist; see 'rattanfork rules history'",
            BAD_INPUT,
        )
    print(record.text, end="")


def _make_edit(change: Callable[[RulesDocument], RulesDocument]) -> Callable:
    def edit(head: RulesRecord) -> str:
        document = load_or_exit(head.text, RulesDocument, f"revision {head.revision}")
        try:
            return dump_rules(change(document))
        except (KeyError, ValueError) as error:
            raise fail(str(error.args[0]), BAD_INPUT) from None

    return edit


@app.command()
def move(
    name: str,
    position: int,
    platform: Platform,
    author: Author = "operator",
    comment: Comment = "",
    expected: Expected = None,
) -> None:
    """Move a rule to another position, counted from 1.

    Example: rattanfork rules move shed-browsing 1
    """
    edit = _make_edit(lambda document: move_rule(document, name, position))
    comment = comment or f"move {name} to {position}"
    _change(platform, edit, author, comment, expected)


@app.command()
def retire(
    name: str,
    platform: Platform,
    author: Author = "operator",
    comment: Comment = "",
    expected: Expected = None,
) -> None:
    """Remove a rule."""
    edit = _make_edit(lambda document: retire_rule(document, name))
    _change(platform, edit, author, comment or f"retire {name}", expected)


@app.command()
def explain(
    node: Node,
    service: Annotated[str, typer.Option(help="Service that is called.")],
    operation: Annotated[str, typer.Option(help="Operation that is called.")],
    caller: str = "",
    importance: str = "normal",
    method: str = "GET",
    data_centre: str = "",
    load: float = 0.0,
    attempt: int = 1,
    as_json: AsJson = False,
) -> None:
    """Show the rule that a node applies to a request, and why earlier ones do not.

    Example: rattanfork rules explain --service receipts --operation browse
    """
    answer = call_admin_api(
        node,
        "/explain",
        service=service,
        operation=operation,
        caller=caller,
        importance=importance,
        method=method,
        data_centre=data_centre,
        load=str(load),
        attempt=str(attempt),
    )
    if as_json:
        print_json(answer)
        return
    for entry in answer["passed_over"]:
        print(f"passed over {entry['rule']}: {'; '.join(entry['because'])}")
    rule = answer["rule"] or "no rule matches; the defaults apply"
    print(f"revision {answer['revision']}: {rule}")


@app.command()
def status(node: Node, as_json: AsJson = False) -> None:
    """Show the revision in force at each node, as queried by one node."""
    answer = call_admin_api(node, "/revisions")
    if as_json:
        print_json(answer)
        return
    rows = [[n["node"], n["revision"]] for n in answer["nodes"]]
    print_table("Rules in force", ["node", "revision"], rows)
    answered = len(answer["nodes"])
    print(f"{answered} of {answer['members']} nodes, {answer['unanswered']} unanswered")
