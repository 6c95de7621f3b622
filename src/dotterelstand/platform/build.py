"""Builds the platform's client from the settings."""

from urllib.parse import urlsplit

from dotterelstand.connection.network import Network
from dotterelstand.platform.client import PlatformClient
from dotterelstand.platform.headers import PLATFORM_FIELDS
from dotterelstand.request.fields import HeaderFields
from dotterelstand.settings import Settings


def build_platform(settings: Settings, network: Network) -> PlatformClient:
    """Build a client of the store at the address in the settings."""
    url = urlsplit(settings.text("store", "url"))
    return PlatformClient(
        url.hostname or "", url.port or 80, network, settings.number("store", "timeout_s")
    )


def platform_fields() -> HeaderFields:
    """Return the header fields of the platform's clients and instances."""
    return PLATFORM_FIELDS
