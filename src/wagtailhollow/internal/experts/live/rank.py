"""Brings the engine of one rank to what the coordinator wants.

The driver compares the engine's report with the intent and gives the order
that is missing, again and again; an order without an answer counts as not
carried out until a report shows it. Three facts make that safe:

* the version of a map only rises, so a late ``prepare`` is refused;
* a version that was disarmed is never armed again, so a late ``disarm`` finds
  nothing, and the next ``prepare`` makes a late ``arm`` of it impossible;
* a late ``hold`` of a step that was begun is refused, and one of a later step
  shows in the report and is released.
"""

from __future__ import annotations

from ...datagram import messages
from ...observability import decisions
from . import model, packing


class RankController:
    """Drives one rank; its engine may be on another host.

    :ivar report: the engine's last report, or None.
    """

    def __init__(self, engine: model.RankEngine) -> None:
        self._engine = engine
        self._intent: messages.Intent | None = None
        self._ordered_version = messages.NONE
        self._experts_of: tuple[int, int, int] | None = None
        self.refused_version = messages.NONE
        self.report: model.RankReport | None = None
        # Packed once for each map, as every status carries them.
        self._experts = b''

    @property
    def term(self) -> int:
        """Return the highest term that was promised."""
        return self._intent.term if self._intent else 0

    def accept(self, intent: messages.Intent) -> bool:
        """Obey *intent* unless a later one was taken before.

        An intent to disarm that is overtaken by the next switch would end
        with two maps in one step.
        """
        if self._intent is not None and _order(intent) < _order(self._intent):
            return False
        is_new = self._intent is None or (
            (intent.term, intent.phase, intent.version, intent.step)
            != (
                self._intent.term,
                self._intent.phase,
                self._intent.version,
                self._intent.step,
            )
        )
        self._intent = intent
        return is_new

    async def reconcile(self) -> None:
        """Read the report and give at most one order.

        :raises EngineUnavailable: the engine did not answer.
        """
        self.report = await self._engine.report()
        if self.report is None:
            return
        await self._read_experts(self.report)
        intent = self._intent
        if (
            intent is None
            or intent.group != self.report.group
            or intent.epoch != self.report.epoch
        ):
            return
        act = _ACTIONS.get(model.Phase(intent.phase))
        if act is not None and await act(self, intent, self.report):
            self.report = await self._engine.report() or self.report

    def status(self) -> messages.RankStatus | None:
        """Return the message that tells the rank's state."""
        report = self.report
        if report is None:
            return None
        none = messages.NONE
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
            experts=self._experts if self._experts_of == _map(report) else b'',
        )

    async def _read_experts(self, report: model.RankReport) -> None:
        key = _map(report)
        if self._experts_of == key:
            return
        maps = await self._engine.maps()
        if (maps.epoch, maps.version) == key[1:]:
            self._experts = packing.pack_rank(maps.experts)
            self._experts_of = key

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
            # The coordinator has to send another map; the rank stays heard.
            decisions.log('map_unreadable', version=version, reason=str(exc))
            self.refused_version = version
            return False
        result = await self._engine.prepare(report.epoch, version, experts)
        if result is model.OrderResult.CONFLICT:
            # An earlier order of the same version may have had no answer.
            maps = await self._engine.maps()
            if maps.prepared_version == version:
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


def _map(report: model.RankReport) -> tuple[int, int, int]:
    return report.start_time_ms, report.epoch, report.map_version


def _order(intent: messages.Intent) -> tuple[int, int]:
    return intent.term, intent.serial


_ACTIONS = {
    model.Phase.PREPARE: RankController._prepare,
    model.Phase.HOLD: RankController._hold,
    model.Phase.ARM: RankController._arm,
    model.Phase.ABORT: RankController._abort,
    model.Phase.RELEASE: RankController._release,
}
