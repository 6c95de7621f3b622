from .base import *


__all__ = ["Extension", "ClientExtensionFactory", "ServerExtensionFactory"]
