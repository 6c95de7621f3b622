"""The journal that lets a keyed request run at most once."""
