"""An answer that is lost as a planned stop closes its connection too soon.

The first request of a connection is a payment, whose answer lies in the
buffers of the gateway's machine as the consumer reads slowly.  The gateway
closes the connection a second after it has written the answer, while the
consumer sends one more request.
"""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import slow2  # noqa: E402

PLAN = slow2.Plan(
    store='127.81.0.1',
    upstream='127.81.1.1',
    machine='127.81.2.1',
    method='POST',
    target='/pay/one',
    answer=12_000,
    work=0.2,
    budget=2.0,
    stop_at=0.1,
    second_at=1.6,
    read_at=1.65,
)

if __name__ == '__main__':
    sys.exit(slow2.run_case(PLAN, HERE))
