"""Base class of the actors of a daemon."""

from abc import abstractmethod

import pykka
import structlog
from pykka import ActorDeadError

_log = structlog.get_logger()


class DaemonActor(pykka.ThreadingActor):
    """Actor that continues after the handling of a message has failed.

    pykka stops an actor after an unhandled exception, which would leave a daemon that
    runs but routes nothing. Instead the failure is logged with the type of the message,
    and an ``ask`` returns ``None``.
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

        :returns: the reply to an ``ask``.
        """


def tell_if_alive(actor: pykka.ActorRef, message: object) -> bool:
    """Sends a message to an actor that may have stopped.

    :returns: whether the actor was alive.
    """
    try:
        actor.tell(message)
    except ActorDeadError:
        _log.debug("message_to_stopped_actor", message_type=type(message).__name__)
        return False
    return True
