"""Define the names of the platform's headers and paths."""

# Request ID, set by the caller and echoed by the server.
REQUEST_ID = b'x-attempt-id'
# Milliseconds for which the sender waits for the answer; a duration, not a
# point in time.
REMAINING = b'x-deadline-ms'
# Proves that the server itself produced the answer.
SEAL = b'x-upstream-seal'
# ID of the only server that may run the request.
EXPECTED_SERVER = b'x-target-instance'
# Present if the server did not run the request.
NOT_RUN = b'x-not-executed'
RETRY_AFTER = b'retry-after'
# Requests per second that the server takes from all callers together.
LIMIT = b'server-limit'
# `1` if the server is about to leave.
LEAVING = b'server-leaving'
# Requests running and waiting at the server, its slots, and how long work takes.
LOAD = b'x-upstream-load'
# Time for which the server stays cold, in milliseconds, and its ID; both in health
# responses.
WARM_UP = b'x-warmup-ms'
INSTANCE = b'x-instance-id'
KEY = b'x-shard-key'
# Handover token that the former owner of the keys leaves for the next one.
HANDOVER = b'x-handover'

# Number of the store's incarnation; it rises when the store comes back from a
# copy.
STORE_ERA = b'store-era'

HOST = b'host'
LENGTH = b'content-length'
TYPE = b'content-type'
ENCODING = b'content-encoding'
JSON_TYPE = (TYPE, b'application/json')

READY_PATH = b'/trefoilsaddle/readyz'
GRANT_PATH = b'/trefoilsaddle/grant'
RELEASE_PATH = b'/trefoilsaddle/release'
