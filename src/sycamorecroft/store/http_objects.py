"""HTTP client of the object store."""

from sycamorecroft.errors import StoreOutcomeUnknownError, StoreUnavailableError
from sycamorecroft.store.interfaces import ObjectStore
from sycamorecroft.store.transport import (
    STATUS_NOT_FOUND,
    Method,
    PlatformConnection,
    encode_segment,
    require_ok,
)


class HttpObjectStore(ObjectStore):
    """Object store over HTTP. Thread-safe.

    Writes are idempotent, so a write whose response was lost is reported as failed and
    can be retried.
    """

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def put(self, key: str, body: bytes) -> None:
        self._write(Method.PUT, key, body)

    def get(self, key: str) -> bytes | None:
        reply = self._connection.call(Method.GET, _path(key))
        if reply.status == STATUS_NOT_FOUND:
            return None
        return require_ok(reply).body

    def delete(self, key: str) -> None:
        self._write(Method.DELETE, key, None)

    def _write(self, method: Method, key: str, body: bytes | None) -> None:
        try:
            require_ok(self._connection.call(method, _path(key), body=body))
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error


def _path(key: str) -> str:
    return f"/objects/{encode_segment(key)}"
