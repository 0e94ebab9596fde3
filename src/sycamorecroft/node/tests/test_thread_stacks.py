"""Tests of deeply nested messages in the threads of a node."""

import subprocess
import sys

import pytest

DEPTHS = (700, 900, 960, 990, 5000)
# Decodes a text in a thread of the node's stack size. Errors of the package are what a
# malformed message has to end with.
SCRIPT = """
import sys
import threading
from sycamorecroft.errors import SycamorecroftError
from sycamorecroft.node.main import STACK_SIZE_BYTES
from sycamorecroft.platform import decode_fleet, decode_wave
from sycamorecroft.platform.workers import _decode_order, _decode_renewal
from sycamorecroft.store.calls import StoreOperation
from sycamorecroft.store.transport import Reply

DECODERS = {
    "run list": lambda text: _decode_renewal(
        Reply("POST /", StoreOperation.WRITE, 200, text)
    ),
    "order": lambda text: _decode_order(
        Reply("POST /", StoreOperation.WRITE, 200, text), 1
    ),
    "wave": decode_wave,
    "configuration": decode_fleet,
}


def decode():
    try:
        DECODERS[sys.argv[1]](sys.stdin.buffer.read())
    except SycamorecroftError:
        pass
    print("survived")


threading.stack_size(STACK_SIZE_BYTES)
thread = threading.Thread(target=decode)
thread.start()
thread.join()
"""
TEXTS = {
    "run list": '{"clock-ms": 1, "finished": [], "running": [["t", 1, %s, 0]]}',
    "order": '{"reason": "", "clock-ms": %s}',
    "wave": '{"wave": 1, "duration-s": 1, "max-count": 1, "machines": %s}',
    "configuration": '{"version": 1, "routes": [], "services": %s, "limits": {}}',
}


@pytest.mark.parametrize("decoder", TEXTS)
def test_deeply_nested_message_does_not_end_the_process(decoder):
    """Guards against a message that overflows the stack of the thread that reads it."""
    for depth in DEPTHS:
        for opening, closing in (("[", "]"), ('{"a":', "}")):
            nested = opening * depth + "1" + closing * depth
            result = subprocess.run(
                [sys.executable, "-c", SCRIPT, decoder],
                input=(TEXTS[decoder] % nested).encode(),
                capture_output=True,
                check=False,
            )
            assert result.returncode == 0, (decoder, depth, result.returncode)
            assert b"survived" in result.stdout
