from ._threads import current_default_thread_limiter, to_thread_run_sync as run_sync

# need to use __all__ for pyright --verifytypes to see re-exports when renaming them
__all__ = ["current_default_thread_limiter", "run_sync"]
