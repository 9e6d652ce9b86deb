"""Typed and indexed access to one version of the table."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import hmac
from collections.abc import Mapping
from typing import Any, TypeVar

from . import model

T = TypeVar('T')


def parse_row(cls: type[T], row: Mapping[str, Any]) -> T:
    """Parse *row* as *cls*; unknown columns are ignored.

    While a release is rolled out, nodes of the previous release receive rows
    with new columns and must continue to serve.
    """
    names = {field.name for field in dataclasses.fields(cls)}
    values = {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in row.items()
        if name in names
    }
    return cls(**values)


class TableView:
    """Index of one :class:`model.Table`; each new version gets a new one."""

    def __init__(self, table: model.Table) -> None:
        self.version = table.version
        self._rows = table.rows
        self._cache: dict[str, Any] = {}

    @functools.cached_property
    def _organisation_of_hash(self) -> dict[str, str]:
        return {
            key_hash: key.partition('/')[2]
            for key, row in self._rows.items()
            if key.startswith('organisation/')
            for key_hash in row.get('key_hashes', ())
        }

    @functools.cached_property
    def _service_of_model(self) -> dict[str, str]:
        return {
            model_name: key.partition('/')[2]
            for key, row in self._rows.items()
            if key.startswith('service/')
            for model_name in row.get('models', ())
        }

    def organisation_of_key(self, api_key: str) -> str | None:
        """Return the organisation to which *api_key* belongs.

        Only a hash of the key is looked up, so the duration of the look-up
        reveals nothing about the key. The final comparison takes constant
        time.
        """
        digest = hashlib.sha256(api_key.encode()).hexdigest()
        name = self._organisation_of_hash.get(digest)
        if name is None:
            return None
        hashes = self.organisation(name).key_hashes
        matches = [hmac.compare_digest(digest, item) for item in hashes]
        return name if any(matches) else None

    def service_of_model(self, model_name: str) -> str | None:
        """Return the service that serves *model_name*."""
        return self._service_of_model.get(model_name)

    def organisation(self, name: str) -> model.Organisation | None:
        """Return the row of an organisation, or None."""
        return self._row('organisation', name, model.Organisation)

    def service(self, name: str) -> model.Service | None:
        """Return the row of a service, or None."""
        return self._row('service', name, model.Service)

    def data_centre(self, name: str) -> model.DataCentre:
        """Return the row of a data centre, or the defaults."""
        return (
            self._row('data_centre', name, model.DataCentre)
            or model.DataCentre()
        )

    def target(self, name: str) -> model.Target:
        """Return the row of a target, or the defaults."""
        return self._row('target', name, model.Target) or model.Target()

    def names(self, kind: str) -> list[str]:
        """Return the names of all rows of *kind*, sorted."""
        prefix = f'{kind}/'
        return sorted(
            key.removeprefix(prefix)
            for key in self._rows
            if key.startswith(prefix)
        )

    def is_withdrawn(self, data_centre: str, target: str) -> bool:
        """Return whether the target or its data centre is withdrawn."""
        withdrawn = model.ServiceState.WITHDRAWN.value
        return (
            self.data_centre(data_centre).state == withdrawn
            or self.target(target).state == withdrawn
        )

    def _row(self, kind: str, name: str, cls: type[T]) -> T | None:
        key = model.row_key(kind, name)
        if key in self._cache:
            return self._cache[key]
        row = self._rows.get(key)
        parsed = None if row is None else parse_row(cls, row)
        # Routing reads the rows of all targets for every call. Organisations
        # are not cached: there are many, and each is read once per call.
        if row is not None and kind != 'organisation':
            self._cache[key] = parsed
        return parsed
