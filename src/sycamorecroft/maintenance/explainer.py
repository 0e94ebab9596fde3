"""Explains waves and hosts to operators, on any daemon."""

import threading
from typing import NamedTuple

from sycamorecroft.maintenance.controller import MaintenanceController
from sycamorecroft.maintenance.explanation import HostExplanation, explain_wave
from sycamorecroft.maintenance.situation import Situation, SituationReader


class ExplainedWave(NamedTuple):
    """Explanations of a wave's hosts.

    ``is_by_controller`` tells whether the controller of maintenance answers. Other
    daemons know neither the demand nor how long ago a host failed.
    """

    is_by_controller: bool
    hosts: tuple[HostExplanation, ...]


class MaintenanceExplainer:
    """Thread-safe. Takes the controller's own view of the situation where it runs here.

    :param controller: controller of this daemon.
    :param reader: a reader of its own, since the controller's belongs to its thread.
    """

    def __init__(
        self, controller: MaintenanceController, reader: SituationReader
    ) -> None:
        self._controller = controller
        self._reader = reader
        self._lock = threading.Lock()

    def situation(self) -> Situation:
        """
        :raises StoreUnavailableError: when the tables can't be read.
        """
        latest = self._controller.latest_situation
        if latest is not None:
            return latest
        with self._lock:
            return self._reader.read({})

    def explain(self, wave_id: str) -> ExplainedWave:
        """
        :raises KeyError: when the wave is unknown.
        :raises StoreUnavailableError: when the tables can't be read.
        """
        is_by_controller = self._controller.latest_situation is not None
        hosts = explain_wave(wave_id, self.situation())
        return ExplainedWave(is_by_controller, hosts)
