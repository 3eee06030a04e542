"""Events that the daemon records and logs."""

from persimmonspur.events import define_event

STARTED = define_event(1001, "started", "INFO", "instance {instance} is serving on {address}")
STOPPING = define_event(1002, "stopping", "INFO", "instance {instance} is stopping")
STOPPED = define_event(1003, "stopped", "INFO", "instance {instance} stopped")
HUB_STALLED = define_event(
    1004, "hub_stalled", "WARNING", "the gevent hub was blocked for {stall_ms} ms"
)
LISTEN_FAILED = define_event(
    1005, "listen_failed", "ERROR", "cannot listen on a configured address: {reason}"
)
REQUEST_FAILED = define_event(
    1006, "request_failed", "ERROR", "request {path} failed with an unexpected error: {reason}"
)
TABLE_ADOPTED = define_event(2001, "table_adopted", "INFO", "adopted cell table {version}")
TABLE_WRITTEN = define_event(2002, "table_written", "INFO", "wrote cell table {version}")
TABLE_CONFLICT = define_event(
    2003,
    "table_conflict",
    "INFO",
    "could not write cell table {version}: concurrent update or failed call",
)
STORE_FAILED = define_event(
    2004, "store_failed", "WARNING", "call to the object API failed: {reason}"
)
MEMBER_JOINED = define_event(
    2005, "member_joined", "INFO", "incarnation {incarnation} of instance {member} joined the cell"
)
MEMBER_GONE = define_event(
    2006,
    "member_gone",
    "WARNING",
    "incarnation {incarnation} of instance {member} is no longer a member",
)
INCARNATION_ENDED = define_event(
    2007,
    "incarnation_ended",
    "WARNING",
    "the cell removed this instance; it continues as incarnation {incarnation}",
)
BUDGETS_RELEASED = define_event(
    2008, "budgets_released", "INFO", "releasing the budgets of {endpoints} endpoints to {receiver}"
)
VALIDITY_LOST = define_event(
    2009, "validity_lost", "WARNING", "no valid budget for any of the {owned} owned endpoints"
)
VALIDITY_GAINED = define_event(
    2010, "validity_gained", "INFO", "valid budgets for {valid} of {owned} owned endpoints"
)
TABLE_UNREADABLE = define_event(
    2011, "table_unreadable", "ERROR", "cannot decode the cell table: {reason}"
)
CONFIGURATION_ADOPTED = define_event(
    3001, "configuration_adopted", "INFO", "configuration {version} is in effect"
)
CONFIGURATION_UNREADABLE = define_event(
    3002, "configuration_unreadable", "ERROR", "cannot decode the stored configuration: {reason}"
)
CONFIGURATION_PART_UNREADABLE = define_event(
    3003,
    "configuration_part_unreadable",
    "ERROR",
    "cannot read part {digest} of configuration {version}: {reason}",
)
CONFIGURATION_REJECTED = define_event(
    3004,
    "configuration_rejected",
    "ERROR",
    "new configuration rejected, the current one stays in effect: {reason}",
)
QUERY_FINISHED = define_event(
    4001, "query_finished", "DEBUG", "query finished with {result} after {duration_ms} ms"
)
SUB_REQUEST_SENT = define_event(
    4002, "sub_request_sent", "TRACE", "sent sub-request {sub_request} to owner {owner}"
)
DISPATCHED = define_event(
    5001, "dispatched", "TRACE", "dispatched sub-request {sub_request} to endpoint {endpoint}"
)
DISPATCH_REFUSED = define_event(
    5002,
    "dispatch_refused",
    "WARNING",
    "budget for endpoint {endpoint} expired before a sub-request was sent",
)
