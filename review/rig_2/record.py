"""Record of what a script sends, gets answered and sees run."""

import threading
import time
from pathlib import Path


class Record:
    """Lines with the time since the start of the script. Thread-safe."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """
        :returns: time in seconds since the start of the script.
        """
        return time.monotonic() - self._start_s

    def add(self, event: str, **fields: object) -> None:
        """Writes one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {event} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Closes the file; later lines are dropped."""
        with self._lock:
            self._file.close()
            self._file = Path("/dev/null").open("w", encoding="utf-8")  # noqa: SIM115
