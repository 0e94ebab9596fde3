"""Job scheduling: places the tasks of a service's jobs on the service's workers."""
