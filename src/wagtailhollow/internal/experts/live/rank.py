"""Reconciles the engine of one rank with the coordinator's intent.

The controller repeatedly compares the engine's report with the intent and
gives the order that is missing. An order without an answer counts as not
executed until a report shows its effect. It may therefore be given twice, or
take effect after newer orders. Three facts make that safe:

* versions of a map only increase, so that a delayed ``prepare`` is refused;
* a version that was disarmed is never armed again, so that a delayed
  ``disarm`` has no effect, and once the next version is prepared, a delayed
  ``arm`` of the old one is refused;
* a delayed ``hold`` of a step that has begun is refused, and one of a later
  step shows in the report and is released.
"""

from __future__ import annotations

from ...datagram import messages
from ...observability import decisions
from . import model, packing


class RankController:
    """Controls the engine of one rank, which may be on another host.

    :ivar refused_version: last version that the engine refused or whose map
        could not be decoded.
    :ivar report: the engine's last report, or None.
    """

    def __init__(self, engine: model.RankEngine) -> None:
        self._engine = engine
        self._intent: messages.Intent | None = None
        # Version of the last prepare order that the engine accepted.
        self._ordered_version = messages.UNSET
        self._experts_key: tuple[int, int, int] | None = None
        self.refused_version = messages.UNSET
        self.report: model.RankReport | None = None
        # Cached because every status carries the packed experts.
        self._experts = b''

    @property
    def term(self) -> int:
        """Return the term that this controller obeys, 0 if there is none."""
        return self._intent.term if self._intent else 0

    def accept(self, intent: messages.Intent) -> bool:
        """Replace the intent unless the present one is newer.

        Datagrams can arrive out of order. Obeying an old intent to disarm
        during the next switch would leave ranks with different maps in one
        step.

        :return: whether the new intent asks for something else than the one
            before.
        """
        if self._intent is not None and _precedence(intent) < _precedence(
            self._intent
        ):
            return False
        is_change = self._intent is None or (
            (intent.term, intent.phase, intent.version, intent.step)
            != (
                self._intent.term,
                self._intent.phase,
                self._intent.version,
                self._intent.step,
            )
        )
        self._intent = intent
        return is_change

    async def reconcile(self) -> None:
        """Read the engine's report and give at most one order.

        :raises EngineUnavailable: the engine did not answer.
        """
        self.report = await self._engine.report()
        if self.report is None:
            return
        await self._refresh_experts(self.report)
        intent = self._intent
        if (
            intent is None
            or intent.group != self.report.group
            or intent.epoch != self.report.epoch
        ):
            return
        action = _ACTIONS.get(model.Phase(intent.phase))
        if action is not None and await action(self, intent, self.report):
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
        )

    async def _refresh_experts(self, report: model.RankReport) -> None:
        key = _map_key(report)
        if self._experts_key == key:
            return
        maps = await self._engine.maps()
        if (maps.epoch, maps.version) == key[1:]:
            self._experts = packing.pack_rank(maps.experts)
            self._experts_key = key

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
        try:
            experts = packing.unpack_map(intent.experts)
        except ValueError as exc:
            # Refusing the version makes the coordinator send another map. An
            # exception would keep the agent from sending its status.
            decisions.log('map_unreadable', version=version, reason=str(exc))
            self.refused_version = version
            return False
        result = await self._engine.prepare(report.epoch, version, experts)
        if result is model.OrderResult.CONFLICT:
            # An earlier order for this version may have been executed without
            # being answered.
            maps = await self._engine.maps()
            if maps.preparing_version == version:
                result = model.OrderResult.DONE
            else:
                self.refused_version = version
        if result is model.OrderResult.DONE:
            self._ordered_version = version
        self._log('prepare', intent, result)
        return True

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
        result = await self._engine.disarm(report.epoch, report.armed.version)
        self._log('disarm', intent, result)
        return True

    async def _release(
        self, intent: messages.Intent, report: model.RankReport
    ) -> bool:
        if report.held_step is None or report.held_step != intent.step:
            return False
        result = await self._engine.release(report.epoch, intent.step)
        self._log('release', intent, result)
        return True

    def _log(
        self,
        order: str,
        intent: messages.Intent,
        result: model.OrderResult,
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
    model.Phase.RELEASE: RankController._release,
}
