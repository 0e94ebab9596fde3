"""HTTP interface through which callers submit, inspect and cancel jobs."""
