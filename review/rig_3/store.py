"""Stand-in of the platform's store that keeps idle connections open for a minute."""

from standins.memory_partitions import MemoryPartitions
from standins.platform_http import STORE_THREADS_COUNT, StoreServer
from sycamorecroft.entry.server import HttpServer, ServerSettings

IDLE_S = 60


class PatientStore(StoreServer):
    """Row store of the project's stand-ins, but for the time-out of connections."""

    def __init__(self, port: int) -> None:
        self.tables = MemoryPartitions()
        self.address = f"127.0.0.1:{port}"
        settings = ServerSettings(self.address, STORE_THREADS_COUNT, 500, 2**20, IDLE_S)
        self._server = HttpServer(self._serve_request, settings)
        self._server.start()
