"""Memory of claim records."""

import importlib

from persimmonspur.capacity.record import MEASURES, Series


@MEASURES.register("claims")
def measure_claims() -> list[Series]:
    """Measure the memory of a claim partition against its records.

    :raises ImportError: if claims are not part of this version.
    """
    importlib.import_module("persimmonspur.core.claims.partition")
    raise ImportError("claim records are not measured yet")
