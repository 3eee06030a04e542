"""Actions that the claim directory asks the daemon to carry out."""

from attrs import frozen


@frozen
class ReadRecords:
    """Read the stored records and report them with :meth:`ClaimDirectory.observe_read`."""

    partition: int


@frozen
class WriteRecords:
    """Write records by conditional update and report with :meth:`ClaimDirectory.observe_write`.

    :param expected_version: stored version that the update expects; 0 for a new object.
    """

    partition: int
    value: bytes
    expected_version: int


@frozen
class HandOver:
    """Send the complete records to the new owner.

    :param version: table version under which this member stopped recording.
    """

    partition: int
    receiver: str
    version: int
    value: bytes


ClaimAction = ReadRecords | WriteRecords | HandOver
