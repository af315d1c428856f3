"""The command ``accounts``, which shows client accounts."""

import asyncio
from collections import Counter
from collections.abc import Iterable

from rattanfork_core.client_accounts import AccountIndex, ClientAccount
from rattanfork_core.trace import LogLine, parse_lines
from rattanfork_platform import PlatformDownError
from rattanfork_platform.connect import connect_platform, read_configuration

from rattanfork_cli.exits import BAD_INPUT, FAILED
from rattanfork_cli.log_files import LogFiles, read_log_lines
from rattanfork_cli.options import AsJson, Platform
from rattanfork_cli.output import fail, print_json, print_table


def show_accounts(
    platform: Platform, files: LogFiles = None, as_json: AsJson = False
) -> None:
    """Show client accounts: priority, rate limit and number of keys, but no key.

    Given log files of nodes, it also counts the refused requests of each account
    by reason.  Exit status 1 if the configuration has no accounts.

    Example: rattanfork accounts *.log
    """
    version, index = _read_accounts(platform)
    if index is None:
        raise fail(f"configuration {version} has no accounts", FAILED)
    refused = _count_refused(parse_lines(read_log_lines(files))) if files else {}
    accounts = sorted(index.accounts.values(), key=lambda account: account.name)
    if as_json:
        entries = [_to_json(a, index, refused.get(a.name, {})) for a in accounts]
        print_json({"configuration": version, "accounts": entries})
        return
    columns = ["account", "priority", "rate/s", "burst", "keys", "refused"]
    rows = [_table_row(a, index, refused.get(a.name, {})) for a in accounts]
    print_table(f"Accounts of configuration {version}", columns, rows)


def _read_accounts(url: str) -> tuple[int, AccountIndex | None]:
    async def read() -> tuple[int, AccountIndex | None]:
        platform = connect_platform(url)
        try:
            configuration = await read_configuration(url, platform)
        finally:
            await platform.close()
        if configuration is None:
            return 0, None
        return configuration.version, configuration.accounts

    try:
        return asyncio.run(read())
    except PlatformDownError as error:
        raise fail(
            f"the platform does not respond: {error}; check --platform", FAILED
        ) from None
    except ValueError as error:
        raise fail(str(error), BAD_INPUT) from None


def _count_refused(lines: Iterable[LogLine]) -> dict[str, Counter[str]]:
    refused: dict[str, Counter[str]] = {}
    for line in lines:
        account = line.get("account")
        if line.kind == "request" and account and line.get("outcome") == "not-run":
            counts = refused.setdefault(account, Counter())
            counts[str(line.get("reason", "-"))] += 1
    return refused


def _table_row(account: ClientAccount, index: AccountIndex, refused: Counter) -> list:
    reasons = ", ".join(f"{reason} {n}" for reason, n in sorted(refused.items()))
    priority = "as the route" if account.priority is None else account.priority
    rate = f"{account.rate:g}" if account.limited else "no limit"
    burst = f"{account.burst:g}" if account.limited else ""
    return [
        account.name,
        priority,
        rate,
        burst,
        index.account_key_count(account.name),
        reasons,
    ]


def _to_json(account: ClientAccount, index: AccountIndex, refused: Counter) -> dict:
    return {
        "name": account.name,
        "priority": account.priority,
        "rate": account.rate if account.limited else None,
        "burst": account.burst if account.limited else None,
        "keys": index.account_key_count(account.name),
        "refused": dict(refused),
    }
