"""Checks of P5 and P6 on the answers that callers received."""

from __future__ import annotations

import collections

from standins.order_load import Order


def check(orders: list[Order], counts: collections.Counter[str]) -> str:
    """Check P5 and P6; return the share of orders with unknown outcome.

    P6: no order runs more than once. P5: no order ran if all its answers say
    so, an order with a result ran, and no answer after a result denies it.

    :param counts: number of executions of each order.
    """
    for order in orders:
        count = counts[order.name]
        assert count <= 1, f'{order} ran {count} times'
        if set(order.answers) == {'not_run'}:
            assert count == 0, f'{order} ran'
        if 'result' in order.answers:
            assert count == 1, f'{order} has a result and did not run'
            after = order.answers[order.answers.index('result') :]
            assert 'not_run' not in after, order
    return 'end as may have run: ' + ', '.join(
        _share(label, [item for item in orders if item.is_keyed is is_keyed])
        for label, is_keyed in (('with a key', True), ('without', False))
    )


def _share(label: str, orders: list[Order]) -> str:
    unknown = [
        order
        for order in orders
        if order.answers[-1] not in ('result', 'not_run')
    ]
    share = len(unknown) / len(orders)
    kinds = collections.Counter(
        order.error_kinds[-1] or 'none' for order in unknown
    )
    return f'{share:.1%} of {len(orders)} {label} {dict(kinds)}'
