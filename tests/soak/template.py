"""Renders the settings template of `deploy/`."""

import json
import re
from typing import Any


def render(template: str, fields: dict[str, Any]) -> str:
    """Replace the placeholders of a template; supports only what the project's template uses."""

    def look_up(name: str) -> Any:
        result: Any = fields
        for part in name.split("."):
            result = result[int(part)] if isinstance(result, list) else result[part]
        return result

    def section(match: re.Match[str]) -> str:
        try:
            found = look_up(match[1])
        except KeyError:
            return ""
        if not isinstance(found, dict):
            return match[2] if found else ""
        items = list(found.items())
        parts = [
            match[2]
            .replace("{{@}}", key)
            .replace("{{.}}", value)
            .replace("{{,}}", "," if number < len(items) - 1 else "")
            for number, (key, value) in enumerate(items)
        ]
        return "".join(parts)

    def value(match: re.Match[str]) -> str:
        result = look_up(match[1])
        return result if isinstance(result, str) else json.dumps(result)

    def inverted_section(match: re.Match[str]) -> str:
        return "" if fields[match[1]] else match[2]

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{\^(\w+)\}\}(.*?)\{\{/\1\}\}", inverted_section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)
