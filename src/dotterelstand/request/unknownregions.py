"""Allowed regions that the platform does not have, so that no target can serve the requests."""

from dotterelstand.events import Event, log
from dotterelstand.version.model import Document

# Maximum number of regions, routes and workspaces named in a line.
MAX_LOGGED = 8


def log_unknown_regions(document: Document) -> None:
    """Log the allowed regions of a document that no target can have, in one line."""
    known = frozenset(document.regions)
    workspaces = [] if document.access is None else document.access.all()
    routes = {
        f"{route.host}{route.prefix}": route.allowed_regions - known
        for route in document.routes
        if not route.allowed_regions <= known
    }
    names = {
        workspace.name: workspace.allowed_regions - known
        for workspace in workspaces
        if not workspace.allowed_regions <= known
    }
    unknown = frozenset().union(*routes.values(), *names.values())
    if unknown:
        log(
            Event.REGIONS_UNKNOWN,
            number=document.number,
            regions=sorted(unknown)[:MAX_LOGGED],
            routes=sorted(routes)[:MAX_LOGGED],
            workspaces=sorted(names)[:MAX_LOGGED],
        )
