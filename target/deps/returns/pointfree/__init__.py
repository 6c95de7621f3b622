from returns.pointfree.alt import alt as alt
from returns.pointfree.apply import apply as apply
from returns.pointfree.bimap import bimap as bimap
from returns.pointfree.bind import bind as bind
from returns.pointfree.bind_async import bind_async as bind_async
from returns.pointfree.bind_async_context_future_result import (
    bind_async_context_future_result as bind_async_context_future_result,
)
from returns.pointfree.bind_async_future import (
    bind_async_future as bind_async_future,
)
from returns.pointfree.bind_async_future_result import (
    bind_async_future_result as bind_async_future_result,
)
from returns.pointfree.bind_awaitable import bind_awaitable as bind_awaitable
from returns.pointfree.bind_context import bind_context as bind_context
from returns.pointfree.bind_context import bind_context2 as bind_context2
from returns.pointfree.bind_context import bind_context3 as bind_context3
from returns.pointfree.bind_context_future_result import (
    bind_context_future_result as bind_context_future_result,
)
from returns.pointfree.bind_context_ioresult import (
    bind_context_ioresult as bind_context_ioresult,
)
from returns.pointfree.bind_context_result import (
    bind_context_result as bind_context_result,
)
from returns.pointfree.bind_future import bind_future as bind_future
from returns.pointfree.bind_future_result import (
    bind_future_result as bind_future_result,
)
from returns.pointfree.bind_io import bind_io as bind_io
from returns.pointfree.bind_ioresult import bind_ioresult as bind_ioresult
from returns.pointfree.bind_optional import bind_optional as bind_optional
from returns.pointfree.bind_result import bind_result as bind_result
from returns.pointfree.compose_result import compose_result as compose_result
from returns.pointfree.cond import cond as cond
from returns.pointfree.lash import lash as lash
from returns.pointfree.map import map_ as map_
from returns.pointfree.modify_env import modify_env as modify_env
from returns.pointfree.modify_env import modify_env2 as modify_env2
from returns.pointfree.modify_env import modify_env3 as modify_env3
from returns.pointfree.unify import unify as unify
