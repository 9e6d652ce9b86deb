"""Decides which of the registrations at one address are in force.

A start of a target ends the earlier ones at its address, whose registrations
remain for some seconds. Registrations of services that the manifest does not
name come from other writers: they say nothing about the targets there.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from . import model


class Addresses:
    """The registrations at each address, by name."""

    def __init__(self) -> None:
        self._records: dict[str, dict[str, model.TargetRecord]] = {}

    def put(self, record: model.TargetRecord) -> None:
        """Add a registration, or replace that of the same name there."""
        rows = self._records.setdefault(record.address, {})
        # The registration that was written last comes last.
        rows.pop(record.name, None)
        rows[record.name] = record

    def remove(self, record: model.TargetRecord) -> None:
        """Remove a registration."""
        rows = self._records[record.address]
        del rows[record.name]
        if not rows:
            del self._records[record.address]

    def names(self, address: str) -> Collection[str]:
        """Return the names that are registered at an address."""
        return self._records.get(address, {}).keys()

    def shared(self) -> Iterator[str]:
        """Yield the addresses of more than one registration."""
        return (
            address for address, rows in self._records.items() if len(rows) > 1
        )

    def superseded(
        self, address: str, services: Collection[str] | None
    ) -> dict[str, str]:
        """Return the earlier starts at an address with what replaced them.

        :param services: services of the manifest; None while it is unknown
            and any service may be one of them.
        :return: name of the latest start by the name of each earlier one.
        """
        rows = self._records.get(address, {}).values()
        latest = max(
            (
                row
                for row in rows
                if services is None or row.service in services
            ),
            key=lambda row: row.started_ms,
            default=None,
        )
        if latest is None:
            return {}
        return {
            row.name: latest.name
            for row in rows
            if row.started_ms < latest.started_ms
        }

    def holder(
        self, address: str, services: Collection[str] | None
    ) -> model.TargetRecord | None:
        """Return the latest start at an address.

        Of starts at the same time it is the one that was written last.
        """
        return max(
            (
                row
                for row in reversed(self._records.get(address, {}).values())
                if services is None or row.service in services
            ),
            key=lambda row: row.started_ms,
            default=None,
        )
