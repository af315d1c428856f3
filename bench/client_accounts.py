"""Cost of the index of client accounts: build time, memory and time per lookup.

Uses 1000 accounts with 100 keys each; prints milliseconds, megabytes and
microseconds.
"""

import secrets
import tracemalloc
from statistics import median
from time import perf_counter

from rattanfork_core.client_accounts import AccountIndex, ClientAccount

ACCOUNTS = 1_000
KEYS_PER_ACCOUNT = 100
RUNS = 5
LOOKUPS = 10_000


def main() -> None:
    """Run the measurements and print them."""
    accounts = {
        ClientAccount(f"account-{number}", rate=10.0, burst=10.0): [
            secrets.token_urlsafe(15) for _ in range(KEYS_PER_ACCOUNT)
        ]
        for number in range(ACCOUNTS)
    }
    seconds = []
    for _ in range(RUNS):
        began = perf_counter()
        index = AccountIndex(accounts)
        seconds.append(perf_counter() - began)
    tracemalloc.start()
    index = AccountIndex(accounts)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    key = next(iter(accounts.values()))[0].encode()
    began = perf_counter()
    for _ in range(LOOKUPS):
        index.find(key)
    each = (perf_counter() - began) / LOOKUPS
    print(
        f"{index.key_count} keys: {median(seconds) * 1e3:.0f} ms, {memory / 1e6:.0f} MB"
    )
    print(f"one lookup: {each * 1e6:.2f} us")


if __name__ == "__main__":
    main()
