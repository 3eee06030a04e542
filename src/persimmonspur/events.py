"""The catalogue of numbered log events."""

from attrs import frozen


@frozen
class EventType:
    """Definition of a log event.

    :param number: unique number, displayed as ``PS`` and four digits.
    :param level: loguru level.
    :param text: message template with the field names in braces.
    """

    number: int
    name: str
    level: str
    text: str

    @property
    def code(self) -> str:
        """The number in the form that appears in logs and the catalogue."""
        return f"PS{self.number}"


CATALOGUE: dict[int, EventType] = {}


def define_event(number: int, name: str, level: str, text: str) -> EventType:
    """Add an event to the catalogue.

    :raises ValueError: if the number is taken.
    """
    if number in CATALOGUE:
        raise ValueError(f"event number {number} is taken by {CATALOGUE[number].name}")
    event = EventType(number, name, level, text)
    CATALOGUE[number] = event
    return event
