"""Events of the product's own daemon."""

from persimmonspur.events import define_event

STARTED = define_event(1001, "started", "INFO", "instance {instance} serves on {address}")
STOPPING = define_event(1002, "stopping", "INFO", "instance {instance} stops")
STOPPED = define_event(1003, "stopped", "INFO", "instance {instance} stopped")
HUB_STALLED = define_event(1004, "hub_stalled", "WARNING", "the hub stalled for {stall_ms} ms")
LISTEN_FAILED = define_event(
    1005, "listen_failed", "ERROR", "cannot listen on an address of the settings: {reason}"
)
REQUEST_FAILED = define_event(
    1006, "request_failed", "ERROR", "the request {path} failed unexpectedly: {reason}"
)
TABLE_ADOPTED = define_event(2001, "table_adopted", "INFO", "adopted cell table {version}")
TABLE_WRITTEN = define_event(2002, "table_written", "INFO", "wrote cell table {version}")
TABLE_CONFLICT = define_event(
    2003, "table_conflict", "INFO", "lost the race to write cell table {version}"
)
STORE_FAILED = define_event(2004, "store_failed", "WARNING", "object API call failed: {reason}")
MEMBER_JOINED = define_event(
    2005, "member_joined", "INFO", "instance {member} incarnation {incarnation} is a member"
)
MEMBER_GONE = define_event(
    2006, "member_gone", "WARNING", "instance {member} incarnation {incarnation} is no member"
)
INCARNATION_ENDED = define_event(
    2007,
    "incarnation_ended",
    "WARNING",
    "the cell removed this instance, which goes on as incarnation {incarnation}",
)
BUDGETS_RELEASED = define_event(
    2008, "budgets_released", "INFO", "released {endpoints} endpoints to {receiver}"
)
VALIDITY_LOST = define_event(
    2009, "validity_lost", "WARNING", "none of {owned} owned endpoints may be used"
)
VALIDITY_GAINED = define_event(
    2010, "validity_gained", "INFO", "{valid} of {owned} owned endpoints may be used"
)
TABLE_UNREADABLE = define_event(
    2011, "table_unreadable", "ERROR", "the cell table is unreadable: {reason}"
)
CONFIGURATION_ADOPTED = define_event(
    3001, "configuration_adopted", "INFO", "configuration {version} is in effect"
)
CONFIGURATION_UNREADABLE = define_event(
    3002, "configuration_unreadable", "ERROR", "the stored configuration is unreadable: {reason}"
)
CONFIGURATION_PART_UNREADABLE = define_event(
    3003,
    "configuration_part_unreadable",
    "ERROR",
    "part {digest} of configuration {version} is unreadable: {reason}",
)
CONFIGURATION_REJECTED = define_event(
    3004, "configuration_rejected", "ERROR", "the present configuration stays: {reason}"
)
QUERY_FINISHED = define_event(
    4001, "query_finished", "DEBUG", "query finished with {result} after {duration_ms} ms"
)
SUB_REQUEST_SENT = define_event(
    4002, "sub_request_sent", "TRACE", "sub-request {sub_request} to {owner}"
)
DISPATCHED = define_event(
    5001, "dispatched", "TRACE", "sub-request {sub_request} sent to endpoint {endpoint}"
)
DISPATCH_REFUSED = define_event(
    5002,
    "dispatch_refused",
    "WARNING",
    "the right to use endpoint {endpoint} expired before a send",
)
