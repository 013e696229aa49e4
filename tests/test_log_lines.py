"""Writing of log lines never blocks the process."""

import json
import os
import subprocess
import sys

from hyssopring.logs.line_writer import LineWriter


def test_paused_reader_loses_lines_and_does_not_block_the_writer():
    """A log collector pauses while the process continues to write.

    The pipe holds 64 KB and the writer buffers 256 KB; further lines are dropped
    and counted. The buffered lines arrive in order when the reader continues.
    """
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end)
    for number in range(2000):
        writer.write(f'{number:04} ' + 'x' * 495)
    assert writer.dropped > 1000
    received = b''
    while True:
        try:
            os.set_blocking(reader, False)
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        writer.write('')
    numbers = [
        int(line[:4]) for line in received.decode().split('x' * 495) if line
    ]
    assert numbers == list(range(2000 - writer.dropped))


def test_closed_reader_is_not_an_error():
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end)
    os.close(reader)
    writer.write('a line')
    writer.write('another')


def test_json_lines_contain_event_level_and_fields():
    script = (
        'from hyssopring.logs import Event, configure_json_logging, log_event;'
        'configure_json_logging();'
        'log_event(Event.TASK_LAPSED, task="t.0", agent="a", reason="not listed")'
    )
    printed = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, check=True
    )
    line = json.loads(printed.stdout)
    assert line['event'] == 3007 and line['level'] == 'WARNING'
    assert line['task'] == 't.0' and line['reason'] == 'not listed'
