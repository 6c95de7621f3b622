"""Values of requests and answers as they stand in log lines."""

# Callers and targets choose paths and request ids, of up to the length of a whole head.
MAX_ID_CHARACTERS = 64
MAX_PATH_CHARACTERS = 200


def logged_id(request_id: bytes | None) -> str:
    """Return the first `MAX_ID_CHARACTERS` of a request id, or "" without one."""
    return "" if request_id is None else request_id[:MAX_ID_CHARACTERS].decode("latin-1")


def logged_path(path: str) -> str:
    """Return the first `MAX_PATH_CHARACTERS` of a path."""
    return path[:MAX_PATH_CHARACTERS]
