"""Log events of the entry daemon."""

from persimmonspur.events import EventType, define_event

ENTRY_STARTED = define_event(
    6001, "entry_started", "INFO", "instance {instance} accepts client requests on {caller_address}"
)
ENTRY_STOPPING = define_event(
    6002,
    "entry_stopping",
    "INFO",
    "instance {instance} is stopping; {running} requests in progress",
)
ENTRY_STOPPED = define_event(
    6003, "entry_stopped", "INFO", "instance {instance} stopped; {running} requests were aborted"
)
SETTINGS_RELOADED = define_event(
    6004, "settings_reloaded", "INFO", "the settings file changed: {changed}"
)
SETTINGS_UNREADABLE = define_event(
    6005, "settings_unreadable", "ERROR", "cannot load the settings file: {reason}"
)
SETTINGS_IN_EFFECT = define_event(
    6007, "settings_in_effect", "INFO", "settings in effect: {settings}"
)
PROCESS_STALLED = define_event(
    6006, "process_stalled", "WARNING", "the process was stalled for {stall_ms} ms"
)
STORE_CALL_FAILED = define_event(
    6101, "store_call_failed", "WARNING", "store call for {feed} failed: {reason}"
)
STORE_REGAINED = define_event(
    6102,
    "store_regained",
    "INFO",
    "store calls for {feed} succeed again after {failed_calls} failed calls, "
    "at revision {revision}",
)
ENTRY_REJECTED = define_event(
    6103, "entry_rejected", "WARNING", "ignoring invalid {kind} entry in the store: {reason}"
)
WATCH_STUCK = define_event(
    6104,
    "watch_stuck",
    "WARNING",
    "peer {peer} has {feed} up to revision {newer}, this instance up to {own}; catching up",
)
PEER_STATE_TAKEN = define_event(
    6105,
    "peer_state_taken",
    "INFO",
    "copied configuration {version} and endpoints up to revision {newest} from peer {peer}",
)
PEER_STATE_FAILED = define_event(
    6106, "peer_state_failed", "WARNING", "cannot fetch the state of peer {peer}: {reason}"
)
SOURCE_CHANGED = define_event(
    6107, "source_changed", "INFO", "receiving changes from {source}: {reason}"
)
STORE_RESTORED = define_event(
    6108,
    "store_restored",
    "WARNING",
    "the store was restored from an older copy; era {era} begins",
)
FEED_FAILED = define_event(
    6109,
    "feed_failed",
    "ERROR",
    "unexpected error in the feed of {feed}, which lists again after a pause: {reason}",
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
    6204, "endpoint_removed", "INFO", "endpoint {endpoint} removed: {reason}"
)
ENDPOINT_SUSPECTED = define_event(
    6206, "endpoint_suspected", "INFO", "avoiding endpoint {endpoint}: {reason}"
)
ENDPOINT_TRUSTED = define_event(
    6207, "endpoint_trusted", "INFO", "no longer avoiding endpoint {endpoint}"
)
ENDPOINT_LIMITED = define_event(
    6208,
    "endpoint_limited",
    "INFO",
    "endpoint {endpoint} takes {rate_per_s} requests per second from all instances together",
)
ENDPOINT_LIMIT_ENDED = define_event(
    6209, "endpoint_limit_ended", "INFO", "endpoint {endpoint} no longer names a limit"
)
ENDPOINT_LEAVING = define_event(
    6221,
    "endpoint_leaving",
    "INFO",
    "sending nothing more to endpoint {endpoint}, which is leaving; learnt from {source}",
)
ENDPOINT_PUSHED_BACK = define_event(
    6222,
    "endpoint_pushed_back",
    "INFO",
    "endpoint {endpoint} wants no requests from this instance for {period_ms} ms",
)
EVACUATED = define_event(
    6205,
    "evacuated",
    "WARNING",
    "sending no requests to endpoints in evacuated failure domains {failure_domains}",
)
MEMBER_CHANGED = define_event(
    6301, "member_changed", "INFO", "instance {member} incarnation {incarnation}: ready {ready}"
)
REQUEST_ANSWERED = define_event(
    6401,
    "request_answered",
    "INFO",
    "request {request_id} finished with status {status}, outcome {outcome}",
)
SEND_FAILED = define_event(
    6402,
    "send_failed",
    "INFO",
    "sending request {request_id} to endpoint {endpoint} failed: {reason}",
)
REQUEST_STANDING = define_event(
    6403,
    "request_standing",
    "WARNING",
    "the request with fingerprint {fingerprint} is {standing}: {crashes} or more endpoints "
    "crashed, {failed_trials} of them in trials",
)
CLIENTS_REFUSED = define_event(
    6404,
    "clients_refused",
    "WARNING",
    "refused requests or connections of clients, by address and reason: {refusals}",
)
API_KEY_SHARED = define_event(
    6501,
    "api_key_shared",
    "WARNING",
    "configuration {version} gives one API key to accounts {owner} and {other}; "
    "it belongs to {owner}",
)
QUOTA_EXCEEDED = define_event(
    6502,
    "quota_exceeded",
    "INFO",
    "account {account} exceeded its quota: {rejected} requests rejected at this instance",
)
QUOTA_SHARE_CHANGED = define_event(
    6503,
    "quota_share_changed",
    "INFO",
    "this instance accrues a share of the quotas: {has_share}",
)

ROLLOUT_CHANGED = define_event(
    6601,
    "rollout_changed",
    "INFO",
    "rollout of {service} to {target_version} is {phase}: {new_bad} of {new_responses} responses "
    "bad, {old_bad} of {old_responses} of the old version; {reason}",
)
ROLLOUT_PROGRESS = define_event(
    6602,
    "rollout_progress",
    "INFO",
    "rollout of {service} to {target_version} gets a share of {share} after {elapsed_ms} ms: "
    "{new_bad} of {new_responses} responses bad, {old_bad} of {old_responses} of the old version",
)
ROLLOUT_STATE_WRITTEN = define_event(
    6603,
    "rollout_state_written",
    "INFO",
    "wrote {state} for the rollout of {service} to {target_version}",
)
ROLLOUT_STATE_NOT_WRITTEN = define_event(
    6604,
    "rollout_state_not_written",
    "WARNING",
    "cannot write {state} for the rollout of {service} to {target_version}: {reason}",
)
ROLLOUT_UNKNOWN = define_event(
    6605,
    "rollout_unknown",
    "WARNING",
    "peer {peer} reports a rollout of {service} to {target_version} that this instance does not "
    "know; asking for changes again",
)

# Events about decisions on single requests, by the name that the core passes.
DECISIONS: dict[str, EventType] = {SEND_FAILED.name: SEND_FAILED}
