"""``make prove``: runs all proofs and prints a line per guarantee and test.

Exits with a non-zero status if a test failed or a guarantee has no proof that
passed.
"""

from __future__ import annotations

import json
import subprocess
import sys

from tests import conftest

GUARANTEES = tuple(f'P{number}' for number in range(1, 11))


def main() -> int:
    """Run the tests, print their proofs and return the exit code."""
    conftest.PROOFS_FILE.unlink(missing_ok=True)
    tests = ['tests/nocover', 'tests/scenarios', 'tests/prove']
    result = subprocess.run([sys.executable, '-m', 'pytest', *tests])
    rows = [
        json.loads(line)
        for line in conftest.PROOFS_FILE.read_text().splitlines()
    ]
    rows.sort(key=lambda row: int(row['guarantee'][1:]))
    for row in rows:
        print(
            f'{row["guarantee"]:4} {row["verdict"]:5} seed={row["seed"]:<6} '
            f'worst={row["worst"] or "-"}; failures: {row["failures"]} '
            f'({row["test"]})'
        )
    proven = {row['guarantee'] for row in rows if row['verdict'] == 'pass'}
    missing = [item for item in GUARANTEES if item not in proven]
    for item in missing:
        print(f'{item:4} MISSING')
    has_failures = any(row['verdict'] != 'pass' for row in rows)
    return 1 if result.returncode or missing or has_failures else 0


if __name__ == '__main__':
    sys.exit(main())
