"""Errors that decoding a JSON text of another process may raise."""

import msgspec

# RecursionError: the text is nested too deeply, also in a field that is skipped.
JSON_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
