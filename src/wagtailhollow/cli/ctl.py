"""``wagtailhollow-ctl``: the operators' client."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Awaitable, Callable, Sequence

from ..internal.operators import client as client_module
from ..internal.operators import editing, outcome, reporting
from ..internal.settings import schema
from ..internal.store import api
from ..internal.table import model
from . import common

PROGRAM = 'wagtailhollow-ctl'
WITHDRAWN = model.ServiceState.WITHDRAWN
IN_SERVICE = model.ServiceState.IN_SERVICE
DEFAULT_WAIT_S = 10.0

Run = Callable[
    [client_module.OperatorClient, argparse.Namespace],
    Awaitable[outcome.Outcome],
]


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; return the exit code."""
    args = _parser().parse_args(argv)
    cfg = common.load_settings(args.settings, schema.OperatorSettings)
    if cfg is None:
        return outcome.ExitCode.INVALID
    if args.check_config:
        print(f'{args.settings}: ok')
        return outcome.ExitCode.DONE
    if args.run is None:
        print('error: no command; see --help', file=sys.stderr)
        return outcome.ExitCode.INVALID
    try:
        result = asyncio.run(_run(cfg, args))
    except KeyboardInterrupt:
        result = outcome.failure(outcome.ExitCode.FAILED, 'interrupted')
    return _print(result, args.json)


async def _run(
    cfg: schema.OperatorSettings, args: argparse.Namespace
) -> outcome.Outcome:
    try:
        async with client_module.OperatorClient(cfg) as client:
            result = await args.run(client, args)
            return await _wait_after_edit(client, args, result)
    except ValueError as exc:
        return outcome.failure(outcome.ExitCode.INVALID, str(exc))
    except (api.PlatformUnavailable, client_module.PeerUnavailable) as exc:
        return outcome.failure(outcome.ExitCode.UNAVAILABLE, str(exc))
    except Exception as exc:
        # Operators get one line; an unforeseen failure is reported with it.
        return outcome.failure(outcome.ExitCode.FAILED, f'internal: {exc!r}')


async def _wait_after_edit(
    client: client_module.OperatorClient,
    args: argparse.Namespace,
    result: outcome.Outcome,
) -> outcome.Outcome:
    if not getattr(args, 'wait', False) or result.code:
        return result
    if 'version' not in result.document:
        return result
    try:
        waited = await reporting.wait_until_in_force(
            client, result.document['version'], args.timeout, _progress
        )
    except api.PlatformUnavailable as exc:
        waited = outcome.failure(
            outcome.ExitCode.NOT_IN_FORCE, f'accepted, but no host list: {exc}'
        )
    return outcome.Outcome(
        waited.code,
        {**result.document, 'in_force': waited.document},
        f'{result.text}\n{waited.text}',
    )


def _progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def _print(result: outcome.Outcome, as_json: bool) -> int:
    if as_json:
        print(json.dumps(result.document))
    else:
        print(result.text, file=sys.stderr if result.code else sys.stdout)
    return int(result.code)


def _parser() -> argparse.ArgumentParser:
    parser = common.parser(PROGRAM, 'The client of the operators.')
    parser.epilog = outcome.EXIT_CODE_HELP
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument(
        '--json', action='store_true', help='print the result as JSON'
    )
    parser.set_defaults(run=None)
    commands = parser.add_subparsers(title='commands', metavar='COMMAND')
    _add_table_commands(commands)
    _add_state_commands(commands)
    _add_status_commands(commands)
    return parser


def _command(
    commands: argparse._SubParsersAction, name: str, text: str, run: Run
) -> argparse.ArgumentParser:
    result = commands.add_parser(name, help=text, description=text)
    result.set_defaults(run=run)
    # SUPPRESS keeps this from undoing the option given before the command.
    result.add_argument(
        '--json',
        action='store_true',
        default=argparse.SUPPRESS,
        help='print the result as JSON',
    )
    return result


def _waits(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--wait',
        action='store_true',
        help='wait until the edit is in force at every node',
    )
    _timeout(parser)


def _timeout(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_WAIT_S,
        metavar='SECONDS',
        help='how long to wait (default: %(default)s)',
    )


def _add_table_commands(commands: argparse._SubParsersAction) -> None:
    async def validate(_, args: argparse.Namespace) -> outcome.Outcome:
        return editing.validate(args.file)

    async def set_row(
        client: client_module.OperatorClient, args: argparse.Namespace
    ) -> outcome.Outcome:
        if args.remove == bool(args.columns):
            raise ValueError('give either COLUMN=VALUE or --remove')
        columns = None if args.remove else editing.parse_columns(args.columns)
        return await editing.set_row(client, args.row, columns)

    async def columns(_, args: argparse.Namespace) -> outcome.Outcome:
        return editing.columns(args.kind)

    described = _command(
        commands,
        'columns',
        'Show the columns of the table and what they may hold.',
        columns,
    )
    described.add_argument('kind', nargs='?', choices=tuple(model.ROW_TYPES))
    show = _command(
        commands,
        'show',
        'Show the table as a file for apply.',
        lambda client, args: editing.show(client, args.rows),
    )
    show.add_argument(
        'rows', nargs='?', default='', help='KIND or KIND/NAME (default: all)'
    )
    check = _command(commands, 'validate', 'Check a table file.', validate)
    check.add_argument('file')
    diff = _command(
        commands,
        'diff',
        'Show what apply would change.',
        lambda client, args: editing.diff(client, args.file),
    )
    diff.add_argument('file')
    apply = _command(
        commands,
        'apply',
        'Write the rows edited in a table file.',
        lambda client, args: editing.apply_file(client, args.file),
    )
    apply.add_argument('file')
    _waits(apply)
    one = _command(commands, 'set', 'Set columns of one row.', set_row)
    one.add_argument('row', help='KIND/NAME')
    one.add_argument(
        'columns', nargs='*', metavar='COLUMN=VALUE', help='VALUE is JSON'
    )
    one.add_argument('--remove', action='store_true', help='remove the row')
    _waits(one)


def _add_state_commands(commands: argparse._SubParsersAction) -> None:
    async def withdraw(
        client: client_module.OperatorClient, args: argparse.Namespace
    ) -> outcome.Outcome:
        if args.direct:
            return await editing.withdraw_direct(
                client, args.kind, args.name, args.direct
            )
        return await editing.set_state(client, args.kind, args.name, WITHDRAWN)

    out = _command(
        commands, 'withdraw', 'Take out a data centre or a target.', withdraw
    )
    out.add_argument(
        '--direct',
        metavar='ADDRESS',
        help='tell the entry at this peer address and its peers, without the '
        'platform; for a region that is cut off from it',
    )
    back = _command(
        commands,
        'return',
        'Return a data centre or a target to service.',
        lambda client, args: editing.set_state(
            client, args.kind, args.name, IN_SERVICE
        ),
    )
    for parser in (out, back):
        parser.add_argument('kind', choices=model.WITHDRAWABLE_KINDS)
        parser.add_argument('name')
        _waits(parser)


def _add_status_commands(commands: argparse._SubParsersAction) -> None:
    reports = {
        'nodes': reporting.nodes,
        'targets': reporting.targets,
        'groups': reporting.groups,
        'limits': reporting.limits,
        'versions': reporting.versions,
    }
    status = _command(
        commands,
        'status',
        'Show nodes, targets, groups, limits or versions in force.',
        lambda client, args: reports[args.what](client),
    )
    status.add_argument('what', choices=tuple(reports))
    wait = _command(
        commands,
        'wait',
        'Wait until a version is in force at every node.',
        lambda client, args: reporting.wait_until_in_force(
            client, args.version, args.timeout, _progress
        ),
    )
    wait.add_argument('version', type=int)
    _timeout(wait)


if __name__ == '__main__':
    sys.exit(main())
