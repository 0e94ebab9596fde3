"""HTTP client of the platform's task service."""

import msgspec

from sycamorecroft.store.interfaces import TaskService, TaskStart, TaskStatus
from sycamorecroft.store.transport import (
    STATUS_NOT_FOUND,
    Method,
    PlatformConnection,
    decode_reply,
    encode_segment,
    require_ok,
)
from sycamorecroft.store.wire import (
    EpochBody,
    RenewBody,
    TasksBody,
    TaskStatusBody,
    ThrottleBody,
    start_body,
    status_from_body,
)


class HttpTaskService(TaskService):
    """Task service over HTTP. Thread-safe."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def start(self, request: TaskStart) -> None:
        path = f"/workers/{encode_segment(request.worker)}/tasks"
        body = msgspec.json.encode(start_body(request))
        require_ok(self._connection.call(Method.POST, path, body=body))

    def list_tasks(self, worker: str) -> tuple[TaskStatus, ...]:
        return self._list(f"/workers/{encode_segment(worker)}/tasks")

    def list_usage(self) -> tuple[TaskStatus, ...]:
        """
        :returns: status of the tasks of all workers.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """
        return self._list("/usage")

    def get(self, task_id: str) -> TaskStatus | None:
        reply = self._connection.call(Method.GET, f"/tasks/{encode_segment(task_id)}")
        if reply.status == STATUS_NOT_FOUND:
            return None
        return status_from_body(decode_reply(reply, TaskStatusBody))

    def renew(self, task_id: str, *, epoch: int, lease_s: float) -> None:
        self._change(task_id, "renew", RenewBody(epoch=epoch, lease_s=lease_s))

    def checkpoint(self, task_id: str, *, epoch: int) -> None:
        self._change(task_id, "checkpoint", EpochBody(epoch=epoch))

    def throttle(self, task_id: str, *, epoch: int, ratio: float) -> None:
        self._change(task_id, "throttle", ThrottleBody(epoch=epoch, ratio=ratio))

    def stop(self, task_id: str, *, epoch: int) -> None:
        self._change(task_id, "stop", EpochBody(epoch=epoch))

    def _list(self, path: str) -> tuple[TaskStatus, ...]:
        body = decode_reply(self._connection.call(Method.GET, path), TasksBody)
        return tuple(status_from_body(item) for item in body["tasks"])

    def _change(
        self, task_id: str, action: str, body: RenewBody | ThrottleBody | EpochBody
    ) -> None:
        path = f"/tasks/{encode_segment(task_id)}/{action}"
        encoded = msgspec.json.encode(body)
        require_ok(self._connection.call(Method.POST, path, body=encoded))
