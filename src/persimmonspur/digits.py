"""Conversion of digits that other processes sent."""

# Fits into the 64-bit integers of messages between instances. Python refuses to convert numbers
# of thousands of digits.
MAX_DIGITS = 18


def parse_digits(text: str | bytes) -> int | None:
    """Return a number of 1 to :data:`MAX_DIGITS` ASCII digits, or ``None`` for anything else.

    ``str.isdigit`` alone accepts characters such as a superscript two, which ``int`` refuses.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
