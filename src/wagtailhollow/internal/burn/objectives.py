"""The service-level objectives and the results of a call that meet them."""

from __future__ import annotations

from collections.abc import Mapping

from ... import errors

FIRST_TOKEN = 'first_token'
BETWEEN_TOKENS = 'between_tokens'
AVAILABILITY = 'availability'
TRUTHFUL_REFUSALS = 'truthful_refusals'
NAMES = (FIRST_TOKEN, BETWEEN_TOKENS, AVAILABILITY, TRUTHFUL_REFUSALS)

SERVER_ERROR = 500


def classify_result(result: str) -> Mapping[str, bool]:
    """Return, by objective, whether a call with this result is good.

    Calls refused because of an error or a limit of the caller (status below
    500) are not counted. For availability, a call is good if it was answered.
    For truthful refusals, it is good if it was answered, or if its error kind
    normally means that it has not run. The metrics contain the kind only: a
    call also counts as good if the entry changed the answer for that kind to
    "may have run" (see :meth:`errors.Answer.uncertain`).
    """
    if result == 'ok':
        return {AVAILABILITY: True, TRUTHFUL_REFUSALS: True}
    answer = errors.ANSWERS[errors.kind_from_wire(result)]
    if answer.status < SERVER_ERROR:
        return {}
    is_execution_known = answer.execution is not errors.Execution.MAY_HAVE_RUN
    return {AVAILABILITY: False, TRUTHFUL_REFUSALS: is_execution_known}
