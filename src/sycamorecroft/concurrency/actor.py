"""Base of the actors of a daemon."""

from abc import abstractmethod

import pykka
import structlog
from pykka import ActorDeadError

_log = structlog.get_logger()


class DaemonActor(pykka.ThreadingActor):
    """Actor that outlives a message whose handling failed.

    pykka stops an actor after an unhandled exception, which would leave a daemon that
    runs but routes nothing. The failure is logged with the kind of message; an ``ask``
    gets ``None``.
    """

    use_daemon_thread = True

    def on_receive(self, message: object) -> object:
        try:
            return self.handle(message)
        except Exception:
            _log.exception(
                "actor_message_failed",
                actor=type(self).__name__,
                message_type=type(message).__name__,
            )
            return None

    @abstractmethod
    def handle(self, message: object) -> object:
        """Handles one message.

        :returns: the answer of an ``ask``.
        """


def tell_if_alive(actor: pykka.ActorRef, message: object) -> bool:
    """Sends a message to an actor that may have stopped in the meantime.

    :returns: whether the actor was alive.
    """
    try:
        actor.tell(message)
    except ActorDeadError:
        _log.debug("actor_is_gone", message_type=type(message).__name__)
        return False
    return True
