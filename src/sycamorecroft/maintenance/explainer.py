"""Provides explanations of waves and hosts to operators, on any daemon."""

import threading
from typing import NamedTuple

from sycamorecroft.maintenance.controller import MaintenanceController
from sycamorecroft.maintenance.explanation import HostExplanation, explain_wave
from sycamorecroft.maintenance.snapshot import (
    MaintenanceSnapshot,
    MaintenanceSnapshotReader,
)


class ExplainedWave(NamedTuple):
    """Explanations of a wave's hosts.

    ``is_by_controller`` is true if they come from the maintenance controller's own
    snapshot. Other daemons know neither the demand nor how long ago a host failed.
    """

    is_by_controller: bool
    hosts: tuple[HostExplanation, ...]


class MaintenanceExplainer:
    """Explains waves from the controller's snapshot if this daemon holds its lease.

    On other daemons it reads a snapshot itself. Thread-safe.

    :param controller: maintenance controller of this daemon.
    :param reader: a separate reader, since the controller's own is confined to the
        controller's thread.
    """

    def __init__(
        self, controller: MaintenanceController, reader: MaintenanceSnapshotReader
    ) -> None:
        self._controller = controller
        self._reader = reader
        self._lock = threading.Lock()

    def snapshot(self) -> MaintenanceSnapshot:
        """
        :returns: the controller's latest snapshot, or one read now.
        :raises StoreUnavailableError: when the tables can't be read.
        """
        latest = self._controller.latest_snapshot
        if latest is not None:
            return latest
        with self._lock:
            return self._reader.read({})

    def explain(self, wave_id: str) -> ExplainedWave:
        """
        :returns: for each host of the wave, its state or why it waits.
        :raises KeyError: when the wave is unknown.
        :raises StoreUnavailableError: when the tables can't be read.
        """
        is_by_controller = self._controller.latest_snapshot is not None
        hosts = explain_wave(wave_id, self.snapshot())
        return ExplainedWave(is_by_controller, hosts)
