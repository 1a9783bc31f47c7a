"""A request that is passed on while a planned stop closes its connection.

The answer to the first request of a connection is larger than the consumer's
window, so that it takes the gateway some time to write it; the second request
arrives meanwhile.
"""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import slow2  # noqa: E402

PLAN = slow2.Plan(
    store='127.71.0.1',
    upstream='127.71.1.1',
    machine='127.71.2.1',
    method='GET',
    target='/reads/large',
    answer=30_000,
    work=0.4,
    budget=4.0,
    stop_at=0.2,
    second_at=0.8,
    read_at=1.2,
)

if __name__ == '__main__':
    sys.exit(slow2.run_case(PLAN, HERE))
