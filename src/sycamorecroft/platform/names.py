"""Names of the tables, keys and key prefixes in the platform's store."""

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
WORKERS_TABLE = "servers"
STATUS_TABLE = "status"
