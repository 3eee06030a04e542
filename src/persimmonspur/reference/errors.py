"""Generates docs/errors.md: ``python -m persimmonspur.reference.errors > docs/errors.md``."""

import sys

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind

INTRODUCTION = """# Error kinds and responses

All interfaces report a failure as one of these kinds. `ran` is the default for the kind; a
response reports a more precise value if it has one. `ran: no` means that no part of the
request was executed.

| kind | HTTP status | ran | exit code of the command line | retryable |
|---|---|---|---|---|
"""


def render_errors() -> str:
    """Return the text of docs/errors.md."""
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
