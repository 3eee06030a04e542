"""Memory and processor time of claim records."""

from functools import partial

from persimmonspur.capacity.configurations import measure_memory
from persimmonspur.capacity.record import MEASURES, Point, Series, build_series, time_call
from persimmonspur.core.claims.partition import ClaimPartition
from persimmonspur.errors import Ran

RECORDS = (2_000, 4_000, 8_000, 16_000)
# Answers have a bound of their own, so that only an empty one is kept here.
ANSWER = b"{}"


@MEASURES.register("claims")
def measure_claims() -> list[Series]:
    """Measure a partition's memory, and the time to record and to store, against its records."""
    memory, fill, store = [], [], []
    for records in RECORDS:
        build = partial(build_partition, records)
        memory.append(Point(records, measure_memory(build)))
        fill.append(Point(records, time_call(build)))
        store.append(Point(records, time_call(build().encode)))
    return [
        build_series("claim_memory", "records", "bytes of a claim partition", memory),
        build_series("claim_cpu", "records", "processor µs to record and finish all", fill),
        build_series("claim_store", "records", "processor µs to encode for the object API", store),
    ]


def build_partition(records: int) -> ClaimPartition:
    """Build a partition of finished requests."""
    built = ClaimPartition(0, "entry-0", 1, first=True)
    for index in range(records):
        request_id = f"{index:032x}"
        built.claim(request_id, 1, 1, 1e12, 1_000.0)
        built.finish(request_id, Ran.YES, 200, ANSWER)
    return built
