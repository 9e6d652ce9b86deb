"""This host's copy of the deployed configuration and of the targets."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Mapping

from ..observability import decisions
from . import addresses, follow, model

LAPSE_GRACE_S = 2.2
"""How long a target whose registration expired in an outage gets new calls.

Targets that are still running register again within about 2 s of the return
of the store.
"""

MAX_LEAVING = 4096
"""Starts of targets that are remembered as leaving, the last ones."""

RESTORED_GRACE_S = 5.0
"""How long a withdrawal is kept that is missing after the store has come back
from an older copy; within it operators have written it again."""


class Directory:
    """The manifest, withdrawals and targets in force."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._routes: dict[str, list[model.Route]] = {}
        self._targets: dict[str, model.TargetRecord] = {}
        self._addresses = addresses.Addresses()
        self._superseded: dict[str, str] = {}
        self._lapsed_until_by_name: dict[str, float] = {}
        self._received_s: dict[tuple[str, int], float] = {}
        self._removals_deferred_until_s = 0.0
        self._leaving: dict[tuple[str, int], None] = {}
        self._gone: dict[tuple[str, int], None] = {}
        self._unconfirmed: set[tuple[str, int]] = set()
        self._withdrawn_until_s: dict[str, float] = {}
        self._manifest_era = 0
        self.manifest: model.Manifest | None = None
        self.withdrawn: frozenset[str] = frozenset()
        self.target_listeners: list[Callable[[], None]] = []

    def apply_manifest(
        self, update: follow.Update[model.Manifest | None]
    ) -> None:
        """Apply a newer manifest; older ones are ignored."""
        for manifest in update.documents.values():
            if manifest is None or not self._is_newer(manifest, update.era):
                continue
            self.manifest = manifest
            self._manifest_era = update.era
            self._routes = _routes_by_host(manifest.routes)
            self._apply_services()
            decisions.log(
                'manifest_applied',
                version=manifest.version,
                revision=manifest.revision,
                routes=len(manifest.routes),
                keys=len(manifest.organisations or ()),
            )

    def _is_newer(self, manifest: model.Manifest, era: int) -> bool:
        """Return whether a manifest follows the one in force.

        Revisions are given out again in a new era, versions are not: one that
        is lower has been read from an older copy of the store.
        """
        if self.manifest is None:
            return True
        if era == self._manifest_era:
            return manifest.revision > self.manifest.revision
        return manifest.version >= self.manifest.version

    def apply_withdrawals(self, update: follow.Update[bool]) -> None:
        """Apply changes of the withdrawn data centres."""
        before = self.withdrawn
        if update.is_older_copy:
            until_s = self._clock() + RESTORED_GRACE_S
            self._withdrawn_until_s = dict.fromkeys(before, until_s)
        names = set() if update.is_listing else set(before)
        for name, is_withdrawn in update.documents.items():
            (names.add if is_withdrawn else names.discard)(name)
            if not is_withdrawn:
                self._withdrawn_until_s.pop(name, None)
        self.withdrawn = frozenset(names)
        if before != self.withdrawn:
            self._notify_listeners()
            decisions.log(
                'withdrawals_changed',
                withdrawn=sorted(names),
                revision=update.revision,
            )

    def apply_targets(
        self, update: follow.Update[model.TargetRecord | None]
    ) -> None:
        """Apply changes of the registered targets."""
        now_s = self._clock()
        if update.is_older_copy:
            self._distrust_copy(update.documents)
        elif not update.is_listing:
            self._unconfirmed -= {
                record.incarnation
                for record in update.documents.values()
                if record is not None
            }
        if update.after_outage or update.is_older_copy:
            self._removals_deferred_until_s = now_s + LAPSE_GRACE_S
        gone = {
            name for name, record in update.documents.items() if record is None
        }
        if update.is_listing:
            gone |= self._targets.keys() - update.documents.keys()
        for name in gone:
            if name in self._targets:
                self._remove_or_mark_lapsed(name, now_s)
        for record in update.documents.values():
            if record is not None:
                self._register(record, now_s)
        self._notify_listeners()

    def _distrust_copy(
        self, documents: Mapping[str, model.TargetRecord | None]
    ) -> None:
        """Keep what is known of targets that an older copy has as ready.

        Targets that were leaving go on to leave. Those that were gone are used
        once they have been written again.
        """
        self._leaving |= {
            record.incarnation: None
            for record in self._targets.values()
            if record.state is model.TargetState.LEAVING
        }
        self._unconfirmed = {
            record.incarnation
            for record in documents.values()
            if record is not None and record.incarnation in self._gone
        }

    def mark_leaving(self, record: model.TargetRecord) -> None:
        """Let a target get no more calls, as it has said that it is leaving.

        Its registration may be older than that and does not change it, even
        if it ends and comes back; only a later start of the target does.
        """
        if record.incarnation in self._leaving:
            return
        self._leaving[record.incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        decisions.log(
            'target_leaving', target=record.name, started_ms=record.started_ms
        )
        self._notify_listeners()

    def route(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest matching prefix, or None."""
        return next(
            (
                route
                for route in self._routes.get(host.lower(), ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def targets(self, service: str) -> list[model.TargetRecord]:
        """Return the targets of a service that accept new calls."""
        return [
            record
            for record in self._targets.values()
            if record.service == service and self._accepts_calls(record)
        ]

    def all_targets(self) -> list[model.TargetRecord]:
        """Return all targets: also leaving, withdrawn and lapsed ones."""
        return [
            record
            for record in self._targets.values()
            if record.name not in self._superseded
        ]

    def known_targets(self) -> list[model.TargetRecord]:
        """Return those of :meth:`all_targets` whose service is known."""
        return list(filter(self._is_known, self.all_targets()))

    def target_at(self, address: str) -> model.TargetRecord | None:
        """Return the target that started last at an address."""
        return self._addresses.holder(address, self._known_services())

    def ready(self, name: str) -> model.TargetRecord | None:
        """Return the target *name* if it accepts new calls."""
        found = self._targets.get(name)
        return found if found and self._accepts_calls(found) else None

    def cold_left_s(self, record: model.TargetRecord) -> float:
        """Return the remaining time for which a target is cold."""
        received_s = self._received_s.get(record.incarnation, 0.0)
        return max(0.0, record.cold_s - (self._clock() - received_s))

    def services(self) -> Mapping[str, model.Service]:
        """Return the services of the manifest in force."""
        return self.manifest.services if self.manifest else {}

    def _notify_listeners(self) -> None:
        for notify in self.target_listeners:
            notify()

    def _accepts_calls(self, record: model.TargetRecord) -> bool:
        now_s = self._clock()
        return (
            record.state is model.TargetState.READY
            and record.name not in self._superseded
            and record.incarnation not in self._leaving
            and record.incarnation not in self._unconfirmed
            and record.data_centre not in self.withdrawn
            and self._withdrawn_until_s.get(record.data_centre, 0.0) <= now_s
            and self._lapsed_until_by_name.get(record.name, now_s) >= now_s
        )

    def _known_services(self) -> Collection[str] | None:
        """Return the services of the manifest, None before there is one."""
        return self.manifest.services.keys() if self.manifest else None

    def _is_known(self, record: model.TargetRecord) -> bool:
        services = self._known_services()
        return services is None or record.service in services

    def _apply_services(self) -> None:
        """Judge the registrations by the services of a new manifest."""
        for record in self._targets.values():
            self._log_if_unknown(record)
        is_changed = False
        for address in list(self._addresses.shared()):
            is_changed |= self._settle(address)
        if is_changed:
            self._notify_listeners()

    def _register(self, record: model.TargetRecord, now_s: float) -> None:
        before = self._targets.get(record.name)
        if before is not None and before.address != record.address:
            self._drop_replaced_by(before.name)
            self._addresses.remove(before)
            self._settle(before.address)
        self._targets[record.name] = record
        self._addresses.put(record)
        self._lapsed_until_by_name.pop(record.name, None)
        if before is None or before.cold_s != record.cold_s:
            self._received_s[record.incarnation] = now_s
        if before != record:
            decisions.log(
                'target_registered',
                target=record.name,
                service=record.service,
                address=record.address,
                data_centre=record.data_centre,
                state=record.state.value,
                cold_s=record.cold_s,
            )
            self._log_if_unknown(record)
        self._settle(record.address)
        if record.name not in self._superseded:
            self._gone.pop(record.incarnation, None)

    def _log_if_unknown(self, record: model.TargetRecord) -> None:
        if not self._is_known(record):
            decisions.log(
                'target_of_unknown_service',
                target=record.name,
                service=record.service,
                address=record.address,
            )

    def _settle(self, address: str) -> bool:
        """Decide which registrations at an address are in force.

        After a power loss, the registration from before remains for some
        seconds beside that of the target's next start.

        :return: whether others are in force than before.
        """
        found = self._addresses.superseded(address, self._known_services())
        is_changed = False
        for name in self._addresses.names(address):
            later = found.get(name)
            if later == self._superseded.get(name):
                continue
            is_changed = True
            incarnation = self._targets[name].incarnation
            if later is None:
                del self._superseded[name]
                self._gone.pop(incarnation, None)
                decisions.log('target_reinstated', target=name)
            else:
                self._superseded[name] = later
                self._remember_gone(incarnation)
                decisions.log('target_replaced', target=name, by=later)
        return is_changed

    def _remember_gone(self, incarnation: tuple[str, int]) -> None:
        self._gone[incarnation] = None
        if len(self._gone) > MAX_LEAVING:
            del self._gone[next(iter(self._gone))]

    def _drop(self, name: str) -> None:
        self._drop_replaced_by(name)
        record = self._targets.pop(name)
        self._forget(record)
        self._settle(record.address)

    def _drop_replaced_by(self, name: str) -> None:
        """Forget the earlier starts that a target has replaced.

        These have ended: they are used again only if they register again.
        """
        replaced = [
            earlier
            for earlier, later in self._superseded.items()
            if later == name
        ]
        for earlier in replaced:
            self._forget(self._targets.pop(earlier))

    def _forget(self, record: model.TargetRecord) -> None:
        self._addresses.remove(record)
        self._superseded.pop(record.name, None)
        self._lapsed_until_by_name.pop(record.name, None)
        self._received_s.pop(record.incarnation, None)
        self._remember_gone(record.incarnation)
        if not record.started_ms:
            # The next start of this target cannot be told from this one.
            self._leaving.pop(record.incarnation, None)

    def _remove_or_mark_lapsed(self, name: str, now_s: float) -> None:
        until_s = self._lapsed_until_by_name.get(
            name, self._removals_deferred_until_s
        )
        if now_s < until_s:
            self._lapsed_until_by_name[name] = until_s
            decisions.log('target_lapsed', target=name)
            return
        self._drop(name)
        decisions.log('target_gone', target=name)


def _routes_by_host(
    routes: tuple[model.Route, ...],
) -> dict[str, list[model.Route]]:
    """Return the routes of each host, longest prefix first."""
    result: dict[str, list[model.Route]] = {}
    for route in routes:
        result.setdefault(route.host.lower(), []).append(route)
    for found in result.values():
        found.sort(key=lambda route: -len(route.prefix))
    return result
