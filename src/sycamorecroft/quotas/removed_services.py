"""Services that have entries in quota rows and are no longer configured."""

from sycamorecroft.quotas.known_rows import KnownRow
from sycamorecroft.quotas.rows import QuotaRow
from sycamorecroft.scheduling.shallow_copy import shallow_copy

# Longer than any lease of the runs of a service that was removed.
REMOVAL_DELAY_S = 20.0


class RemovedServices:
    """Tells whose entries may be dropped. Not thread-safe."""

    def __init__(self, service: str) -> None:
        """
        :param service: own service, whose entries are never dropped.
        """
        self._service = service
        self._services: frozenset[str] = frozenset()
        self._configuration_version = 0
        self._removed_since_s: dict[str, float] = {}
        self._droppable: frozenset[str] = frozenset()

    def copy(self) -> "RemovedServices":
        """
        :returns: an independent copy.
        """
        twin = shallow_copy(self)
        twin._removed_since_s = self._removed_since_s.copy()
        return twin

    def apply_services(
        self, services: frozenset[str], configuration_version: int
    ) -> None:
        """Applies the services of the configuration in force."""
        self._services = services
        self._configuration_version = configuration_version
        for service in services.intersection(self._removed_since_s):
            del self._removed_since_s[service]
        self._droppable -= services

    def note(self, known: KnownRow, now_s: float) -> None:
        """Notes services with entries that aren't configured."""
        for name in known.entries:
            if name != self._service and name not in self._services:
                self._removed_since_s.setdefault(name, now_s)

    def note_changes(self, former: KnownRow, latter: KnownRow, now_s: float) -> None:
        """Restarts the delay of services whose entries have changed.

        An owner has written such an entry, so that the service may have returned in a
        version of the configuration that isn't known here, or was skipped.
        """
        for name, entry in latter.entries.items():
            is_removed = name in self._removed_since_s
            if is_removed and former.entries.get(name) != entry:
                self._removed_since_s[name] = now_s
                self._droppable -= {name}

    def review(self, now_s: float) -> None:
        """Lets entries be dropped whose delay has passed."""
        self._droppable = frozenset(
            name
            for name, since_s in self._removed_since_s.items()
            if now_s - since_s >= REMOVAL_DELAY_S
        )

    def is_in(self, known: KnownRow) -> bool:
        """
        :returns: whether the row has entries whose delay has passed.
        """
        return not self._droppable.isdisjoint(known.entries)

    def droppable(self, row: QuotaRow) -> frozenset[str]:
        """
        :returns: services whose entries are dropped when the row is written. A service
            may have returned in the newer configuration of another writer.
        """
        if row.configuration_version > self._configuration_version:
            return frozenset()
        return self._droppable.intersection(row.entries)
