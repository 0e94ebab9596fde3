"""Detects changes of the settings file and validates it."""

from pathlib import Path

import structlog

from sycamorecroft.errors import SettingsError
from sycamorecroft.settings import NodeSettings, load_node_settings

_log = structlog.get_logger(__name__)


class SettingsWatcher:
    """Validates the settings file after a change or a signal.

    All settings are addresses and limits that a process uses from its start, so that
    changes take effect with the next start. An invalid file is refused.
    """

    def __init__(self, path: Path, settings: NodeSettings) -> None:
        self._path = path
        self.settings = settings
        self._last_modified_ns = self._modified_ns()

    def _modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0

    def has_changed(self) -> bool:
        """
        :returns: whether the file was modified since it was last read.
        """
        return self._modified_ns() != self._last_modified_ns

    def reload(self) -> bool:
        """Reads and validates the file.

        :returns: whether its settings are valid.
        """
        self._last_modified_ns = self._modified_ns()
        try:
            settings = load_node_settings(self._path)
        except SettingsError as error:
            _log.error("settings_refused", path=str(self._path), reason=str(error))
            return False
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        _log.info("settings_reloaded", path=str(self._path), changed=changed)
        return True
