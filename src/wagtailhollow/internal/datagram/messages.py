"""Messages between hosts, as thrift structs.

``deploy/hosts.thrift`` has the same structs for readers and for tools. They
are written out here because the full generated module costs each agent 13 MB
of memory, which is priced.
"""

from __future__ import annotations

from thrift.protocol import TBase
from thrift.Thrift import TType

UNSET = -1
"""Value of a version or step that is not set."""


def _struct(*fields: tuple[str, int, object]):
    """Give a class the thrift fields ``(name, type, default)``."""

    def apply(cls: type) -> type:
        spec: list[tuple | None] = [None]
        for number, (name, kind, default) in enumerate(fields, 1):
            args = None
            if kind == TType.STRING:
                args = 'BINARY' if isinstance(default, bytes) else 'UTF8'
            spec.append((number, kind, name, args, default))
        defaults = {name: default for name, _, default in fields}

        def __init__(self, **values):
            for name in values.keys() - defaults.keys():
                raise TypeError(f'{cls.__name__} has no field {name!r}')
            for name, default in defaults.items():
                setattr(self, name, values.get(name, default))

        cls.__init__ = __init__
        cls.thrift_spec = tuple(spec)
        return cls

    return apply


@_struct(
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
    ('experts', TType.STRING, b''),
    ('demand', TType.STRING, b''),
    ('target', TType.STRING, ''),
    ('address', TType.STRING, ''),
)
class RankStatus(TBase.TBase):
    """State of one rank's engine, sent by its agent.

    :ivar term: term of the coordinator that the agent obeys.
    :ivar step: last step that was begun.
    :ivar prepared: version whose weights have all arrived.
    :ivar held_step: step that does not begin before its release.
    :ivar ordered_version: last version whose weights were ordered.
    :ivar refused_version: version that the engine did not accept.
    :ivar experts: experts of this rank, see :mod:`..experts.live.packing`.
    :ivar demand: how often each expert was chosen lately, packed.
    """


@_struct(
    ('term', TType.I64, 0),
    ('group', TType.STRING, ''),
    ('epoch', TType.I64, 0),
    ('phase', TType.I32, 0),
    ('version', TType.I64, UNSET),
    ('step', TType.I64, UNSET),
    ('holder', TType.I32, UNSET),
    ('experts', TType.STRING, b''),
    ('serial', TType.I64, 0),
)
class Intent(TBase.TBase):
    """What a coordinator wants all ranks of its group to reach.

    :ivar phase: see :class:`..experts.live.model.Phase`.
    :ivar holder: rank that holds the group.
    :ivar experts: the map of all ranks, packed.
    :ivar serial: orders the intents of a term, as datagrams can overtake each
        other.
    """


@_struct(
    ('target', TType.STRING, ''),
    ('running', TType.I32, 0),
    ('waiting', TType.I32, 0),
    ('entries', TType.I32, 0),
    ('is_open', TType.BOOL, True),
    ('step', TType.I64, 0),
    ('memory_used', TType.I64, 0),
    ('group', TType.STRING, ''),
    ('pass_ms', TType.I32, 0),
)
class LoadReport(TBase.TBase):
    """Load of one target, sent by its agent to the entries.

    :ivar entries: entries that asked for reports lately.
    :ivar group: group whose ranks serve together, empty if none.
    :ivar pass_ms: mean time of a pass lately, 0 if not known.
    """


@_struct(('node', TType.STRING, ''))
class Subscribe(TBase.TBase):
    """An entry asks an agent for load reports."""


MESSAGE_TYPES = (RankStatus, Intent, LoadReport, Subscribe)
