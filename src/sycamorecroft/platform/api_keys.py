"""API keys, which are known by their digests everywhere else."""

from hashlib import sha256

_API_KEY_VARIABLE = "HTTP_API_KEY"


def key_digest(key: bytes) -> bytes:
    """
    :returns: SHA-256 digest by which an API key is known.
    """
    return sha256(key).digest()


def read_key_digest(environ: dict) -> bytes | None:
    """
    :param environ: WSGI environment of a call, whose texts stand for one byte per
        character.
    :returns: digest of the key that the call carries, ``None`` if it carries none.
    """
    key = environ.get(_API_KEY_VARIABLE, "")
    return key_digest(key.encode("latin-1")) if key else None
