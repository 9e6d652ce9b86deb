"""Header names of the platform's callers and engines, in lower case."""

REQUEST_ID = b'x-request-id'
DEADLINE = b'x-deadline-ms'
"""Milliseconds that the sender waits; the engine then stops the work."""

API_KEY = b'x-key'
ORGANISATION = b'x-tenant'
EXPECTED_TARGET = b'x-expect-instance'
PRIORITY = b'x-request-priority'
"""0 to 9; 0 is admitted first."""

ENGINE_SIGNATURE = b'x-engine-signature'
NOT_EXECUTED = b'x-not-executed'
FAULTY_TARGET = b'at-server'
"""Target whose state caused the refusal: the responding one or another rank of
its group."""

LEAVING = b'server-leaving'
"""``1`` in all answers of a target that is about to leave."""

LOAD = b'x-engine-load'
"""Running requests, waiting requests and slots, separated by commas."""

PROMPT_PREFIX = b'x-prompt-prefix'
"""Parts of the prompt, see :mod:`.prompts`."""

TOKEN_USAGE = b'x-token-usage'
"""Tokens of the prompt and most tokens of the answer, see :mod:`.prompts`."""

LAST_EVENT_ID = b'last-event-id'

STORE_ERA = b'store-era'
"""Number that rises each time the store comes back from an older copy."""
