"""Tables and keys of the platform's store."""

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
WORKERS_TABLE = "servers"
STATUS_TABLE = "status"
