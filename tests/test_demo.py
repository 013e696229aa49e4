"""The demo's separate processes, over real sockets."""

import subprocess
import sys


def test_demo_answers_every_booking_and_completes_the_job():
    run = subprocess.run(
        [sys.executable, '-m', 'demo'],
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert run.returncode == 0, run.stdout + run.stderr
