"""What the report measures and which results of a call are good."""

from __future__ import annotations

from collections.abc import Mapping

from ... import errors

FIRST_TOKEN = 'first_token'
BETWEEN_TOKENS = 'between_tokens'
AVAILABILITY = 'availability'
TRUTHFUL = 'truthful_refusals'
NAMES = (FIRST_TOKEN, BETWEEN_TOKENS, AVAILABILITY, TRUTHFUL)

SERVER_ERROR = 500


def judge(result: str) -> Mapping[str, bool]:
    """Return, by objective, whether a call with this result is good.

    Calls refused for a fault or a limit of the caller (status below 500) are
    not counted. Availability wants an answer; truthful refusals want that the
    caller knows whether the call ran, by an answer or by a refusal that is
    proven not to have run.
    """
    if result == 'ok':
        return {AVAILABILITY: True, TRUTHFUL: True}
    answer = errors.ANSWERS[errors.kind_from_wire(result)]
    if answer.status < SERVER_ERROR:
        return {}
    is_certain = answer.execution is not errors.Execution.MAY_HAVE_RUN
    return {AVAILABILITY: False, TRUTHFUL: is_certain}
