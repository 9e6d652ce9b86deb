"""Reconciles the engine of one rank with the coordinator's intent.

The controller repeatedly compares the engine's report with the intent and
gives the order that is missing. An order without an answer counts as not
executed until a report shows its effect. It may therefore be given twice, or
take effect after newer orders, and a coordinator that was frozen may give one
after its successor's. These facts make that safe:

* versions of a map only increase, so that a delayed ``prepare`` is refused;
* a version that was disarmed is never armed again, so that a delayed
  ``disarm`` has no effect, and once the next version is prepared, a delayed
  ``arm`` of the old one is refused;
* a version that is newer than that of the intent is not disarmed;
* a delayed ``hold`` of a step that has begun is refused, and one of a later
  step shows in the report and is released, see ``holds.py``.
"""

from __future__ import annotations

import collections

from ...datagram import messages
from ...observability import decisions
from . import holds, model, packing

MAX_KNOWN_MAPS = 3
"""The map in effect and those of rounds that were given up."""


class KnownMaps:
    """The maps of a group that this agent has read and used last."""

    def __init__(self) -> None:
        self._maps: collections.OrderedDict[
            tuple[str, int, int], packing.PackedMap
        ] = collections.OrderedDict()

    def get(
        self, report: model.RankReport, version: int
    ) -> packing.PackedMap | None:
        """Return a version in the group's present epoch, None if unknown."""
        key = (report.group, report.epoch, version)
        if key in self._maps:
            self._maps.move_to_end(key)
        return self._maps.get(key)

    def add(
        self, report: model.RankReport, version: int, ranks: packing.PackedMap
    ) -> None:
        """Remember a map of the present epoch."""
        self._maps[report.group, report.epoch, version] = ranks
        while len(self._maps) > MAX_KNOWN_MAPS:
            self._maps.popitem(last=False)

    def forget(self, report: model.RankReport, version: int) -> None:
        """Forget a map of the present epoch."""
        self._maps.pop((report.group, report.epoch, version), None)


class RankController:
    """Controls the engine of one rank, which may be on another host.

    :ivar refused_version: last version that the engine refused or whose map
        could not be decoded.
    :ivar report: the engine's last report, or None.
    :ivar gave_order: whether the last look at the engine led to an order.
    """

    def __init__(self, engine: model.RankEngine) -> None:
        self._engine = engine
        self._intent: messages.Intent | None = None
        # Version of the last prepare order that the engine accepted.
        self._ordered_version = messages.UNSET
        self._epoch = messages.UNSET
        self._experts_key: tuple[int, int, int] | None = None
        self.refused_version = messages.UNSET
        self.report: model.RankReport | None = None
        self.gave_order = False
        # Cached because statuses carry the packed experts.
        self._experts = b''
        self._known_maps = KnownMaps()

    @property
    def term(self) -> int:
        """Return the term that this controller obeys, 0 if there is none."""
        return self._intent.term if self._intent else 0

    def accept(self, intent: messages.Intent) -> bool:
        """Replace the intent unless the present one is newer.

        Datagrams can arrive out of order. Obeying an old intent to disarm
        during the next switch would leave ranks with different maps in one
        step. A repetition without the map does not replace one with it.

        :return: whether the new intent asks for something else than the one
            before, or brings its map.
        """
        present = self._intent
        if present is None:
            self._intent = intent
            return True
        if _precedence(intent) < _precedence(present):
            return False
        is_repetition = _precedence(intent) == _precedence(present)
        if is_repetition and (present.full_map or not intent.has_map):
            return False
        self._intent = intent
        return True

    async def reconcile(self) -> None:
        """Read the engine's report and give at most one order.

        :raises EngineUnavailable: the engine did not answer.
        """
        self.gave_order = False
        self.report = await self._engine.report()
        if self.report is None:
            return
        self._enter_epoch(self.report.epoch)
        await self._refresh_experts(self.report)
        intent = self._intent
        if (
            intent is None
            or intent.group != self.report.group
            or intent.epoch != self.report.epoch
        ):
            return
        action = (
            RankController._release
            if holds.is_obsolete(intent, self.report)
            else _ACTIONS.get(model.Phase(intent.phase))
        )
        if action is not None and await action(self, intent, self.report):
            self.gave_order = True
            self.report = await self._engine.report() or self.report

    def status(self) -> messages.RankStatus | None:
        """Return the status message of the rank, None without a report."""
        report = self.report
        if report is None:
            return None
        none = messages.UNSET
        return messages.RankStatus(
            term=self.term,
            group=report.group,
            epoch=report.epoch,
            rank=report.rank,
            size=report.size,
            is_open=report.is_open,
            step=report.step,
            map_version=report.map_version,
            prepared=none if report.prepared is None else report.prepared,
            armed_version=report.armed.version if report.armed else none,
            armed_step=report.armed.step if report.armed else none,
            held_step=none if report.held_step is None else report.held_step,
            ordered_version=self._ordered_version,
            refused_version=self.refused_version,
            experts=self._experts
            if self._experts_key == _map_key(report)
            else b'',
            knows_map=self._knows_map(report),
        )

    def _knows_map(self, report: model.RankReport) -> bool:
        known = self._known_maps.get(report, report.map_version)
        return (
            known is not None
            and self._experts_key == _map_key(report)
            and known[report.rank] == self._experts
        )

    def _enter_epoch(self, epoch: int) -> None:
        """Forget the prepared version when the group is formed again.

        It cannot be armed any more; engines refuse to prepare it again.
        """
        if epoch != self._epoch:
            self.refused_version = max(
                self.refused_version, self._ordered_version
            )
            self._ordered_version = messages.UNSET
            self._epoch = epoch

    async def _refresh_experts(self, report: model.RankReport) -> None:
        key = _map_key(report)
        if self._experts_key == key:
            return
        maps = await self._engine.maps()
        self._record_ordered_version(maps)
        if (maps.epoch, maps.version) == key[1:]:
            self._experts = packing.pack_rank(list(map(sorted, maps.experts)))
            self._experts_key = key

    def _record_ordered_version(self, maps: model.RankMaps) -> None:
        """Learn of an order that another agent or an earlier start gave."""
        if maps.preparing_version is not None:
            self._ordered_version = max(
                self._ordered_version, maps.preparing_version
            )

    async def _prepare(
        self, intent: messages.Intent, report: model.RankReport
    ) -> bool:
        version = intent.version
        if (
            report.prepared == version
            or report.map_version == version
            or self.refused_version == version
            or self._ordered_version == version
        ):
            return False
        ranks = self._map_of(intent, report)
        if ranks is None:
            return False
        experts = list(map(packing.unpack_rank, ranks))
        result = await self._engine.prepare(report.epoch, version, experts)
        if result is model.OrderResult.CONFLICT:
            # An earlier order for this version may have been executed without
            # being answered.
            maps = await self._engine.maps()
            self._record_ordered_version(maps)
            if maps.preparing_version == version:
                result = model.OrderResult.DONE
            else:
                self.refused_version = version
        if result is model.OrderResult.DONE:
            self._ordered_version = version
        self._log('prepare', intent, result)
        return True

    def _map_of(
        self, intent: messages.Intent, report: model.RankReport
    ) -> packing.PackedMap | None:
        """Return the map of an intent, None if it has to be sent again.

        Moves that do not lead to the coordinator's map show that this agent's
        own copy is wrong; its status then asks for the whole map. A whole map
        that is unreadable counts as refused, so that the coordinator sends
        another one. An exception would keep the agent from reporting.
        """
        try:
            if intent.full_map:
                ranks = packing.unpack_map(intent.full_map)
            else:
                base = self._known_maps.get(report, intent.base_version)
                if base is None:
                    return None
                ranks = packing.apply_moves(base, intent.moves)
            if (
                packing.checksum(ranks) != intent.checksum
                or len(ranks) != report.size
            ):
                raise ValueError('the map does not match its checksum')
        except ValueError as exc:
            decisions.log(
                'map_unreadable', version=intent.version, reason=str(exc)
            )
            if intent.full_map:
                self.refused_version = intent.version
            else:
                self._known_maps.forget(report, intent.base_version)
            return None
        self._known_maps.add(report, intent.version, ranks)
        return ranks

    async def _hold(
        self, intent: messages.Intent, report: model.RankReport
    ) -> bool:
        if intent.holder != report.rank or report.held_step is not None:
            return False
        result = await self._engine.hold(report.epoch, intent.step)
        self._log('hold', intent, result)
        return True

    async def _arm(
        self, intent: messages.Intent, report: model.RankReport
    ) -> bool:
        wanted = model.ArmedMap(intent.version, intent.step)
        if report.armed == wanted or report.prepared != intent.version:
            return False
        result = await self._engine.arm(
            report.epoch, intent.version, intent.step
        )
        self._log('arm', intent, result)
        return True

    async def _abort(
        self, intent: messages.Intent, report: model.RankReport
    ) -> bool:
        if report.armed is None:
            return await self._prepare(intent, report)
        if report.armed.version > intent.version:
            # A later coordinator has armed it while this one was frozen.
            decisions.log(
                'order_outdated',
                rank=report.rank,
                term=intent.term,
                version=intent.version,
                armed=report.armed.version,
            )
            return False
        result = await self._engine.disarm(report.epoch, report.armed.version)
        self._log('disarm', intent, result)
        return True

    async def _release(
        self, intent: messages.Intent, report: model.RankReport
    ) -> bool:
        result = await self._engine.release(report.epoch, report.held_step)
        self._log('release', intent, result, held=report.held_step)
        return True

    def _log(
        self,
        order: str,
        intent: messages.Intent,
        result: model.OrderResult,
        **fields: int,
    ) -> None:
        decisions.log(
            'order',
            order=order,
            group=intent.group,
            rank=self.report.rank,
            epoch=intent.epoch,
            term=intent.term,
            version=intent.version,
            step=intent.step,
            at_step=self.report.step,
            result=result.value,
            **fields,
        )


def _map_key(report: model.RankReport) -> tuple[int, int, int]:
    return report.start_time_ms, report.epoch, report.map_version


def _precedence(intent: messages.Intent) -> tuple[int, int]:
    return intent.term, intent.serial


_ACTIONS = {
    model.Phase.PREPARE: RankController._prepare,
    model.Phase.HOLD: RankController._hold,
    model.Phase.ARM: RankController._arm,
    model.Phase.ABORT: RankController._abort,
}
