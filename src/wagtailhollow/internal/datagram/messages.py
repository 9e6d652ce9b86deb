"""Messages between hosts, as thrift structs.

``deploy/hosts.thrift`` defines the same structs for documentation and tools.
They are defined by hand here because the generated module takes 13 MB more
memory in each agent, where memory is charged for.
"""

from __future__ import annotations

from thrift.protocol import TBase
from thrift.Thrift import TType

UNSET = -1
"""Value of a version or step field that is not set."""


def _thrift_struct(*fields: tuple[str, int, object] | None):
    """Class decorator: add the thrift fields ``(name, type, default)``.

    None stands for a number that is not used any more.
    """
    used = [field for field in fields if field is not None]

    def decorate(cls: type) -> type:
        spec: list[tuple | None] = [None]
        for number, field in enumerate(fields, 1):
            if field is None:
                spec.append(None)
                continue
            name, kind, default = field
            args = None
            if kind == TType.STRING:
                args = 'BINARY' if isinstance(default, bytes) else 'UTF8'
            spec.append((number, kind, name, args, default))
        defaults = {name: default for name, _, default in used}

        def __init__(self, **values):
            for name in values.keys() - defaults.keys():
                raise TypeError(f'{cls.__name__} has no field {name!r}')
            for name, default in defaults.items():
                setattr(self, name, values.get(name, default))

        cls.__init__ = __init__
        cls.thrift_spec = tuple(spec)
        return cls

    return decorate


@_thrift_struct(
    ('term', TType.I64, 0),
    ('group', TType.STRING, ''),
    ('epoch', TType.I64, 0),
    ('rank', TType.I32, 0),
    ('size', TType.I32, 0),
    ('is_open', TType.BOOL, False),
    ('step', TType.I64, 0),
    ('map_version', TType.I64, 0),
    ('prepared', TType.I64, UNSET),
    ('armed_version', TType.I64, UNSET),
    ('armed_step', TType.I64, UNSET),
    ('held_step', TType.I64, UNSET),
    ('ordered_version', TType.I64, UNSET),
    ('refused_version', TType.I64, UNSET),
    None,
    None,
    None,
    ('address', TType.STRING, ''),
    ('experts', TType.STRING, b''),
    ('knows_map', TType.BOOL, False),
)
class RankStatus(TBase.TBase):
    """State of one rank's engine, sent by its agent.

    :ivar term: term of the coordinator that the agent obeys.
    :ivar step: last step that has begun.
    :ivar prepared: version whose weights have all been copied.
    :ivar held_step: step that does not begin before it is released.
    :ivar ordered_version: last version that the engine was told to prepare.
    :ivar refused_version: version that the engine rejected.
    :ivar address: address of the engine.
    :ivar experts: experts of this rank, see :mod:`..experts.live.packing`.
    :ivar knows_map: whether the agent has the experts of all ranks in the map
        in effect, so that changes of it are enough to build the next map.
    """


@_thrift_struct(
    ('term', TType.I64, 0),
    ('group', TType.STRING, ''),
    ('epoch', TType.I64, 0),
    ('phase', TType.I32, 0),
    ('version', TType.I64, UNSET),
    ('step', TType.I64, UNSET),
    ('holder', TType.I32, UNSET),
    None,
    ('serial', TType.I64, 0),
    ('full_map', TType.STRING, b''),
    ('base_version', TType.I64, UNSET),
    ('moves', TType.STRING, b''),
    ('checksum', TType.I64, 0),
    ('forward_to', TType.STRING, b''),
    ('wants_status', TType.BOOL, False),
)
class Intent(TBase.TBase):
    """State that the coordinator requests from all ranks of its group.

    :ivar phase: see :class:`..experts.live.model.Phase`.
    :ivar holder: rank whose engine holds the group at ``step``.
    :ivar serial: sequence number within a term, as datagrams can be reordered.
    :ivar full_map: the map of all ranks, packed.
    :ivar base_version: version of the map that ``moves`` apply to; unset if
        the message has no moves.
    :ivar moves: difference between the two maps, packed.
    :ivar checksum: checksum of the resulting map.
    :ivar forward_to: IPv4 addresses of the agents that the receiver forwards
        the message to, four bytes each.
    :ivar wants_status: the coordinator has not seen the receiver comply and
        asks for its status.
    """

    @property
    def has_map(self) -> bool:
        """Return whether the message has a map, in full or as moves."""
        return bool(self.full_map) or self.base_version != UNSET


@_thrift_struct(
    ('group', TType.STRING, ''),
    ('epoch', TType.I64, 0),
    ('rank', TType.I32, 0),
    ('is_sum', TType.BOOL, False),
    ('ranks', TType.I32, 1),
    ('counts', TType.STRING, b''),
)
class ExpertDemand(TBase.TBase):
    """Recent activations of each expert, of one rank or a sum over several.

    :ivar rank: rank of the sender.
    :ivar is_sum: whether the sender has added the counts of other ranks.
    :ivar ranks: number of ranks that the counts cover.
    :ivar counts: packed, see :mod:`..experts.live.packing`.
    """


@_thrift_struct(
    ('target', TType.STRING, ''),
    ('running', TType.I32, 0),
    ('waiting', TType.I32, 0),
    ('entries', TType.I32, 0),
    ('is_open', TType.BOOL, True),
    ('step', TType.I64, 0),
    ('memory_used', TType.I64, 0),
    ('group', TType.STRING, ''),
    ('pass_ms', TType.I32, 0),
    ('period_ms', TType.I32, 0),
)
class LoadReport(TBase.TBase):
    """Load of one target, sent by its agent to the entries.

    :ivar entries: number of entries with a recent subscription, for those
        that have no :class:`EntryList` yet.
    :ivar group: group that the target is a rank of, or empty.
    :ivar pass_ms: recent mean duration of a pass, 0 if unknown.
    :ivar period_ms: period of these reports.
    """


@_thrift_struct(
    ('term', TType.I64, 0),
    ('group', TType.STRING, ''),
    ('epoch', TType.I64, 0),
    ('standby_ranks', TType.STRING, b''),
    ('standby_ips', TType.STRING, b''),
    ('collector_ranks', TType.STRING, b''),
    ('collector_ips', TType.STRING, b''),
    ('address', TType.STRING, ''),
)
class Roster(TBase.TBase):
    """Duties that the coordinator gives to ranks of its group.

    Ranks are encoded by :func:`..experts.live.packing.pack_numbers`, addresses
    as four bytes each, in the same order.

    :ivar standby_ranks: ranks that get all statuses and take over if the
        coordinator is lost.
    :ivar collector_ranks: ranks that add up the demand of a part of the group.
    :ivar address: address of the coordinator's engine.
    """


@_thrift_struct(
    ('node', TType.STRING, ''),
    ('wants_entries', TType.BOOL, False),
    ('reads_batches', TType.BOOL, False),
    ('demand', TType.STRING, b''),
)
class Subscribe(TBase.TBase):
    """Request of an entry for load reports of an agent.

    :ivar wants_entries: whether to answer with an :class:`EntryList`.
    :ivar reads_batches: whether the entry reads :class:`LoadBatch`.
    :ivar demand: rates of its calls, see :mod:`.demand_rows`.
    """


@_thrift_struct(
    ('ips', TType.STRING, b''),
    ('demand', TType.STRING, b''),
)
class EntryList(TBase.TBase):
    """Entries with a recent subscription, sent by an agent to one of them.

    An agent that has not listened for long enough sends none.

    :ivar ips: IPv4 addresses of the entries, four bytes each.
    :ivar demand: sum of their demands.
    """


@_thrift_struct(
    ('group', TType.STRING, ''),
    ('period_ms', TType.I32, 0),
    ('rows', TType.STRING, b''),
)
class LoadBatch(TBase.TBase):
    """Load of several targets of a group, sent by an agent to the entries.

    :ivar period_ms: longest time between two reports of a target.
    :ivar rows: see :mod:`.load_rows`.
    """


@_thrift_struct(
    ('service', TType.STRING, ''),
    ('parts', TType.STRING, ''),
    ('crash_id', TType.STRING, ''),
    ('evidence', TType.I32, 0),
)
class PromptSuspect(TBase.TBase):
    """A call that a target had when it ended, sent between entries.

    :ivar parts: ids of the suspected parts of its prompt, separated by commas.
    :ivar crash_id: names the target that ended and its start.
    :ivar evidence: see :class:`..entry.direct.prompt_holds.Evidence`.
    """


@_thrift_struct(
    ('service', TType.STRING, ''),
    ('parts', TType.STRING, ''),
    ('crashes', TType.I32, 0),
    ('left_ms', TType.I32, 0),
)
class PromptHold(TBase.TBase):
    """Parts of prompts that no call may have together, between entries.

    :ivar crashes: number of crashes that the parts explain.
    :ivar left_ms: time until one call may try again.
    """


@_thrift_struct(('node', TType.STRING, ''))
class PromptHoldsWanted(TBase.TBase):
    """Request of an entry that has started, for all holds of another."""


@_thrift_struct(
    ('service', TType.STRING, ''),
    ('parts', TType.STRING, ''),
)
class PromptAnswered(TBase.TBase):
    """Suspected parts on which targets have written answers."""


MESSAGE_TYPES = (
    RankStatus,
    Intent,
    LoadReport,
    Subscribe,
    ExpertDemand,
    EntryList,
    Roster,
    LoadBatch,
    PromptSuspect,
    PromptHold,
    PromptAnswered,
    PromptHoldsWanted,
)
