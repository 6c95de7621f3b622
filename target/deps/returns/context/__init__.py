"""This module was quite a big one, so we have split it."""

from returns.context.requires_context import NoDeps as NoDeps
from returns.context.requires_context import Reader as Reader
from returns.context.requires_context import RequiresContext as RequiresContext
from returns.context.requires_context_future_result import (
    ReaderFutureResult as ReaderFutureResult,
)
from returns.context.requires_context_future_result import (
    ReaderFutureResultE as ReaderFutureResultE,
)
from returns.context.requires_context_future_result import (
    RequiresContextFutureResult as RequiresContextFutureResult,
)
from returns.context.requires_context_future_result import (
    RequiresContextFutureResultE as RequiresContextFutureResultE,
)
from returns.context.requires_context_ioresult import (
    ReaderIOResult as ReaderIOResult,
)
from returns.context.requires_context_ioresult import (
    ReaderIOResultE as ReaderIOResultE,
)
from returns.context.requires_context_ioresult import (
    RequiresContextIOResult as RequiresContextIOResult,
)
from returns.context.requires_context_ioresult import (
    RequiresContextIOResultE as RequiresContextIOResultE,
)
from returns.context.requires_context_result import ReaderResult as ReaderResult
from returns.context.requires_context_result import (
    ReaderResultE as ReaderResultE,
)
from returns.context.requires_context_result import (
    RequiresContextResult as RequiresContextResult,
)
from returns.context.requires_context_result import (
    RequiresContextResultE as RequiresContextResultE,
)
