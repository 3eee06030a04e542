"""Writes docs/errors.md: ``python -m persimmonspur.reference.errors > docs/errors.md``."""

import sys

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind

INTRODUCTION = """# Error kinds and answers

Every surface reports one of these kinds. `ran` is what the kind implies; an answer may
know better, and then says so. `ran: no` means that no part of the request ran.

| kind | HTTP status | ran | exit code of the tool | worth retrying |
|---|---|---|---|---|
"""


def render_errors() -> str:
    """Return the page."""
    rows = []
    for kind in ErrorKind:
        response = ERROR_RESPONSES[kind]
        retry = "yes" if response.retry else "no"
        rows.append(
            f"| `{kind}` | {response.status} | {response.ran} | {response.exit_code} | {retry} |\n"
        )
    return INTRODUCTION + "".join(rows)


if __name__ == "__main__":
    sys.stdout.write(render_errors())
