"""Histogram of durations that can be merged and stored in result files."""

from base64 import b64decode, b64encode

from ddsketch import DDSketch
from ddsketch.pb.ddsketch_pb2 import DDSketch as DDSketchMessage
from ddsketch.pb.proto import DDSketchProto

MAX_US = 60_000_000
RELATIVE_ACCURACY = 0.001


class DurationHistogram:
    """Durations in whole microseconds, from 1 to :data:`MAX_US`.

    Percentiles are exact to :data:`RELATIVE_ACCURACY`.
    """

    def __init__(self, sketch: DDSketch | None = None) -> None:
        """Create an empty histogram, or one of the durations in a sketch."""
        self._sketch = sketch if sketch is not None else DDSketch(RELATIVE_ACCURACY)

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._sketch.count)

    def record(self, duration_us: float) -> None:
        """Record a duration; values out of range count as the nearest in range."""
        self._sketch.add(max(1.0, min(duration_us, MAX_US)))

    def merge(self, other: "DurationHistogram") -> None:
        """Add the durations of another histogram."""
        self._sketch.merge(other._sketch)

    def get_percentile(self, percentile: float) -> float:
        """Return a percentile in microseconds; 0 without durations.

        :param percentile: from 0 to 100.
        """
        value = self._sketch.get_quantile_value(percentile / 100)
        return float(value) if value is not None else 0.0

    def encode(self) -> str:
        """Return the histogram as text."""
        message = DDSketchProto.to_proto(self._sketch)
        return b64encode(message.SerializeToString()).decode("ascii")

    @classmethod
    def decode(cls, text: str) -> "DurationHistogram":
        """Return the histogram that :meth:`encode` wrote.

        :raises ValueError: if the text is not base64.
        """
        message = DDSketchMessage()
        message.ParseFromString(b64decode(text))
        return cls(DDSketchProto.from_proto(message))
