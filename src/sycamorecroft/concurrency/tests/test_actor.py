"""Tests of actors whose message handling fails."""

from sycamorecroft.concurrency import DaemonActor


class CountingActor(DaemonActor):
    def __init__(self):
        super().__init__()
        self.count = 0

    def handle(self, message):
        if message == "fail":
            raise ValueError(message)
        self.count += 1
        return self.count


def test_actor_continues_after_a_failed_message():
    """Guards against a daemon that runs without its queue owner after one error."""
    actor = CountingActor.start()
    actor.tell("fail")
    assert actor.ask("fail", timeout=5) is None
    assert actor.ask("count", timeout=5) == 1
    actor.stop()
