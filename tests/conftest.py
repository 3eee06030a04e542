"""Settings that all tests share."""

from hypothesis import settings

# The verdict must be the same on every run: fixed examples, no time limits.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")
