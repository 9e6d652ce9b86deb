"""Names of the headers that the platform's callers and engines use."""

REQUEST_ID = b'x-request-id'
DEADLINE = b'x-deadline-ms'
"""Milliseconds that the sender waits; an engine stops work after them."""

API_KEY = b'x-key'
ORGANISATION = b'x-tenant'
EXPECTED_TARGET = b'x-expect-instance'
PRIORITY = b'x-request-priority'
"""0 to 9, 0 is admitted first."""

ENGINE_SIGNATURE = b'x-engine-signature'
NOT_EXECUTED = b'x-not-executed'
FAULTY_TARGET = b'at-server'
"""Target whose state made another one refuse: a rank of the same group."""

LOAD = b'x-engine-load'
"""Running, waiting and slots, separated by commas."""

LAST_EVENT_ID = b'last-event-id'
