"""Events of the entry daemon in the catalogue."""

from persimmonspur.events import EventType, define_event

ENTRY_STARTED = define_event(
    6001, "entry_started", "INFO", "instance {instance} serves clients on {caller_address}"
)
ENTRY_STOPPING = define_event(
    6002, "entry_stopping", "INFO", "instance {instance} stops; {running} requests run"
)
ENTRY_STOPPED = define_event(
    6003, "entry_stopped", "INFO", "instance {instance} stopped; {running} requests were cut"
)
SETTINGS_RELOADED = define_event(
    6004, "settings_reloaded", "INFO", "the settings file changed: {changed}"
)
SETTINGS_UNREADABLE = define_event(
    6005, "settings_unreadable", "ERROR", "the settings file is unreadable: {reason}"
)
SETTINGS_IN_EFFECT = define_event(
    6007, "settings_in_effect", "INFO", "the settings in effect are {settings}"
)
PROCESS_STALLED = define_event(
    6006, "process_stalled", "WARNING", "the process stood still for {stall_ms} ms"
)
STORE_CALL_FAILED = define_event(
    6101, "store_call_failed", "WARNING", "a store call for {feed} failed: {reason}"
)
STORE_REGAINED = define_event(
    6102,
    "store_regained",
    "INFO",
    "the store answers again for {feed} after {failed_calls} failed calls",
)
ENTRY_REJECTED = define_event(
    6103, "entry_rejected", "WARNING", "a {kind} entry in the store is unusable: {reason}"
)
WATCH_STUCK = define_event(
    6104,
    "watch_stuck",
    "WARNING",
    "peer {peer} knows {feed} up to {newer}, this instance up to {own}; calling the store anew",
)
PEER_STATE_TAKEN = define_event(
    6105,
    "peer_state_taken",
    "INFO",
    "took configuration {version} and endpoints up to {newest} from peer {peer}",
)
PEER_STATE_FAILED = define_event(
    6106, "peer_state_failed", "WARNING", "peer {peer} did not hand over its state: {reason}"
)
SOURCE_CHANGED = define_event(
    6107, "source_changed", "INFO", "changes of the store come from {source}: {reason}"
)
CONFIGURATION_IN_EFFECT = define_event(
    6201, "configuration_in_effect", "INFO", "configuration {version} is in effect"
)
ENDPOINTS_LISTED = define_event(
    6202, "endpoints_listed", "INFO", "listed {endpoints} endpoints at revision {revision}"
)
ENDPOINT_CHANGED = define_event(
    6203, "endpoint_changed", "INFO", "endpoint {endpoint} of {service} at {address}"
)
ENDPOINT_REMOVED = define_event(
    6204, "endpoint_removed", "INFO", "endpoint {endpoint} is gone: {reason}"
)
ENDPOINT_SUSPECTED = define_event(
    6206, "endpoint_suspected", "INFO", "endpoint {endpoint} is avoided: {reason}"
)
ENDPOINT_TRUSTED = define_event(
    6207, "endpoint_trusted", "INFO", "endpoint {endpoint} answers again"
)
EVACUATED = define_event(
    6205, "evacuated", "WARNING", "no requests to endpoints in {failure_domains}"
)
MEMBER_CHANGED = define_event(
    6301, "member_changed", "INFO", "instance {member} incarnation {incarnation}: ready {ready}"
)
REQUEST_ANSWERED = define_event(
    6401, "request_answered", "INFO", "request {request_id} ended with {status} {outcome}"
)
SEND_FAILED = define_event(
    6402, "send_failed", "INFO", "send of {request_id} to {endpoint} failed: {reason}"
)

# Events of decisions about single requests, by the name that the core gives them.
DECISIONS: dict[str, EventType] = {SEND_FAILED.name: SEND_FAILED}
