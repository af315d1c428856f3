"""One verdict every time: property tests draw the same examples in CI."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow],
    database=None,
)
settings.register_profile("long", deadline=None, max_examples=5000, database=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
