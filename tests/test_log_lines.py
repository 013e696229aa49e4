"""Log lines never stop the process that writes them."""

import json
import os
import subprocess
import sys

from hyssopring.logs.line_writer import LineWriter


def test_a_reader_that_stops_reading_loses_lines_and_blocks_nobody():
    """A log collector stands still while the process goes on writing.

    The pipe takes 64 KB and the writer keeps 256 KB more; further lines are
    counted, and those that were kept come in order when the reader is back.
    """
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end)
    for number in range(2000):
        writer.write(f'{number:04} ' + 'x' * 495)
    assert writer.dropped > 1000
    text = b''
    while True:
        try:
            os.set_blocking(reader, False)
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        writer.write('')
    numbers = [int(line[:4]) for line in text.decode().split('x' * 495) if line]
    assert numbers == list(range(2000 - writer.dropped))


def test_a_reader_that_is_gone_is_no_error():
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end)
    os.close(reader)
    writer.write('a line')
    writer.write('another')


def test_lines_of_the_platform_s_processes_are_json_objects():
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
