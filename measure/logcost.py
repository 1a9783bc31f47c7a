"""Measure the cost of a log line: `python -m measure.logcost > /dev/null`."""

import sys
from time import process_time

from trefoilsaddle.decisionlog import start_decision_log
from trefoilsaddle.gateway.loglines import log_request

_LINES = 20_000
# Rate of the lines, below the limit on lines of one kind per second.
_LINES_A_SECOND = 100
_MICROSECONDS = 1_000_000


def run() -> None:
    """Write lines at a virtual rate and print the mean processor time."""
    log = start_decision_log('edge-a-1')
    line = log_request(
        'e66a9ce5ee385663',
        'sent',
        route='r-wikyiiu',
        service='yese51a',
        server='i-d69b20c122',
        attempt=1,
        busy=2.0,
        told_age=0.21,
        version=4,
        owners=0,
    )
    started = process_time()
    for number in range(_LINES):
        log.write(line, number / _LINES_A_SECOND)
    elapsed = process_time() - started
    each = elapsed / _LINES * _MICROSECONDS
    sys.stderr.write(f'{each:.1f} us per line\n')


if __name__ == '__main__':
    run()
