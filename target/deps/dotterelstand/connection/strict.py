"""Checks on the raw bytes of a request head that h11 is lenient about.

Two parsers that disagree on where a request ends let a caller hide a second request inside the
first, so everything that RFC 9112 lets a lenient parser repair is refused here.
"""

import re

HEAD_END = b"\r\n\r\n"

# A line feed without carriage return, a carriage return without line feed, or a NUL byte.
_BAD_BYTES = re.compile(rb"(?<!\r)\n|\r(?=[^\n])|\x00")
# A line that continues the header field before it (obs-fold).
_FOLDED = re.compile(rb"\r\n[ \t]")
_LENGTH = re.compile(rb"\r\ncontent-length[ \t]*:([^\r]*)", re.IGNORECASE)
_CODING = re.compile(rb"\r\ntransfer-encoding[ \t]*:", re.IGNORECASE)
_VERSION = re.compile(rb"^[^\r]* HTTP/1\.([01])\r\n")


def check_raw_head(head: bytes) -> bool:
    """Whether a head, including its final empty line, can be read in one way only."""
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
    """Length of the head at the start of `data`, or -1 if it has not ended yet.

    The first `searched` bytes are known to hold no end. A head whose end no strict parser would
    accept ends at its bare line feed, so that it is refused at once.
    """
    end = data.find(HEAD_END, max(0, searched - 3))
    bare = _BAD_BYTES.search(data, max(0, searched - 1))
    if bare is not None and (end < 0 or bare.start() < end):
        return bare.end()
    return -1 if end < 0 else end + len(HEAD_END)
