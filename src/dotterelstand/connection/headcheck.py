"""Strict checks on the raw bytes of a request head, where h11 is lenient.

If two parsers disagree on where a request ends, a caller can smuggle a second request inside the
first. So every deviation that RFC 9112 allows a lenient parser to repair is refused.
"""

import re

HEAD_END = b"\r\n\r\n"

# A line feed without carriage return, a carriage return without line feed, or NUL.
_BAD_BYTES = re.compile(rb"(?<!\r)\n|\r(?=[^\n])|\x00")
# Obsolete line folding (obs-fold).
_FOLDED = re.compile(rb"\r\n[ \t]")
_LENGTH = re.compile(rb"\r\ncontent-length[ \t]*:([^\r]*)", re.IGNORECASE)
_CODING = re.compile(rb"\r\ntransfer-encoding[ \t]*:", re.IGNORECASE)
_VERSION = re.compile(rb"^[^\r]* HTTP/1\.([01])\r\n")


def check_raw_head(head: bytes) -> bool:
    """Whether all parsers read a head in the same way; `head` includes the final empty line."""
    if _BAD_BYTES.search(head) or _FOLDED.search(head):
        return False
    version = _VERSION.match(head)
    if version is None:
        return False
    lengths = _LENGTH.findall(head)
    if len(lengths) > 1 or any(not value.strip(b" \t").isdigit() for value in lengths):
        return False
    codings = len(_CODING.findall(head))
    if codings and (lengths or codings > 1 or version.group(1) == b"0"):
        return False
    return True


def find_head_end(data: bytes | bytearray, searched: int) -> int:
    """Length in bytes of the head at the start of `data`, or -1 if it is incomplete.

    The first `searched` bytes are known not to contain the end. An invalid byte, such as a bare
    line feed, also ends the head, so that `check_raw_head` refuses it at once.
    """
    end = data.find(HEAD_END, max(0, searched - 3))
    bare = _BAD_BYTES.search(data, max(0, searched - 1))
    if bare is not None and (end < 0 or bare.start() < end):
        return bare.end()
    return -1 if end < 0 else end + len(HEAD_END)
