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
        print('error: no command given; see --help', file=sys.stderr)
        return outcome.ExitCode.INVALID
    try:
        result = asyncio.run(_run(cfg, args))
    except KeyboardInterrupt:
        result = outcome.failure(outcome.ExitCode.FAILED, 'interrupted')
    return _print_result(result, args.json)


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
        # Unexpected failures, too, are reported in one line, not a traceback.
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
        wait_result = await reporting.wait_until_in_force(
            client, result.document['version'], args.timeout, _print_progress
        )
    except api.PlatformUnavailable as exc:
        wait_result = outcome.failure(
            outcome.ExitCode.NOT_IN_FORCE,
            f'accepted, but the host list is unavailable: {exc}',
        )
    return outcome.Outcome(
        wait_result.code,
        {**result.document, 'in_force': wait_result.document},
        f'{result.text}\n{wait_result.text}',
    )


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def _print_result(result: outcome.Outcome, as_json: bool) -> int:
    if as_json:
        print(json.dumps(result.document))
    else:
        print(result.text, file=sys.stderr if result.code else sys.stdout)
    return int(result.code)


def _parser() -> argparse.ArgumentParser:
    parser = common.parser(
        PROGRAM,
        'Edits the table of weights and limits and reports on the nodes.',
    )
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


def _add_command(
    commands: argparse._SubParsersAction, name: str, text: str, run: Run
) -> argparse.ArgumentParser:
    result = commands.add_parser(name, help=text, description=text)
    result.set_defaults(run=run)
    # With SUPPRESS, the default does not override the option given before the
    # command.
    result.add_argument(
        '--json',
        action='store_true',
        default=argparse.SUPPRESS,
        help='print the result as JSON',
    )
    return result


def _add_wait_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--wait',
        action='store_true',
        help='wait until the edit is in force at every node',
    )
    _add_timeout_option(parser)


def _add_timeout_option(parser: argparse.ArgumentParser) -> None:
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

    columns_command = _add_command(
        commands,
        'columns',
        'Show the columns of the table and their allowed values.',
        columns,
    )
    columns_command.add_argument(
        'kind', nargs='?', choices=tuple(model.ROW_TYPES)
    )
    show = _add_command(
        commands,
        'show',
        'Show the table in the format of a table file for apply.',
        lambda client, args: editing.show(client, args.rows),
    )
    show.add_argument(
        'rows', nargs='?', default='', help='KIND or KIND/NAME (default: all)'
    )
    validate_command = _add_command(
        commands, 'validate', 'Check a table file.', validate
    )
    validate_command.add_argument('file')
    diff = _add_command(
        commands,
        'diff',
        'Show what apply would change.',
        lambda client, args: editing.diff(client, args.file),
    )
    diff.add_argument('file')
    apply = _add_command(
        commands,
        'apply',
        'Apply the rows edited in a table file.',
        lambda client, args: editing.apply_file(client, args.file),
    )
    apply.add_argument('file')
    _add_wait_options(apply)
    set_command = _add_command(
        commands, 'set', 'Set columns of one row.', set_row
    )
    set_command.add_argument('row', help='KIND/NAME')
    set_command.add_argument(
        'columns', nargs='*', metavar='COLUMN=VALUE', help='VALUE is JSON'
    )
    set_command.add_argument(
        '--remove', action='store_true', help='remove the row'
    )
    _add_wait_options(set_command)


def _add_state_commands(commands: argparse._SubParsersAction) -> None:
    async def withdraw(
        client: client_module.OperatorClient, args: argparse.Namespace
    ) -> outcome.Outcome:
        if args.direct:
            return await editing.withdraw_direct(
                client, args.kind, args.name, args.direct
            )
        return await editing.set_state(client, args.kind, args.name, WITHDRAWN)

    withdraw_command = _add_command(
        commands, 'withdraw', 'Withdraw a data centre or a target.', withdraw
    )
    withdraw_command.add_argument(
        '--direct',
        metavar='ADDRESS',
        help='send the withdrawal to the entry at this peer address and its '
        'peers, without the platform; for a region cut off from it',
    )
    return_command = _add_command(
        commands,
        'return',
        'Bring a withdrawn data centre or target back into service.',
        lambda client, args: editing.set_state(
            client, args.kind, args.name, IN_SERVICE
        ),
    )
    for parser in (withdraw_command, return_command):
        parser.add_argument('kind', choices=model.WITHDRAWABLE_KINDS)
        parser.add_argument('name')
        _add_wait_options(parser)


def _add_status_commands(commands: argparse._SubParsersAction) -> None:
    reports = {
        'nodes': reporting.nodes,
        'targets': reporting.targets,
        'groups': reporting.groups,
        'limits': reporting.limits,
        'versions': reporting.versions,
    }
    status = _add_command(
        commands,
        'status',
        'Show nodes, targets, groups, limits or the versions in force.',
        lambda client, args: reports[args.what](client),
    )
    status.add_argument('what', choices=tuple(reports))
    wait = _add_command(
        commands,
        'wait',
        'Wait until a table version is in force at every node.',
        lambda client, args: reporting.wait_until_in_force(
            client, args.version, args.timeout, _print_progress
        ),
    )
    wait.add_argument('version', type=int)
    _add_timeout_option(wait)


if __name__ == '__main__':
    sys.exit(main())
