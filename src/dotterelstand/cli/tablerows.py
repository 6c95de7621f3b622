"""Converts pages of the control ports to rows of a table."""

from dotterelstand.cli.client import HostAnswers
from dotterelstand.cli.output import Row


def page_rows(answers: HostAnswers) -> list[Row]:
    """Return the rows of a page that is a list of flat objects, with the reporting host."""
    rows: list[Row] = []
    for host, page in sorted(answers.values.items()):
        items = page if isinstance(page, list) else [page]
        rows.extend({"reported_by": host, **item} for item in items if isinstance(item, dict))
    return rows


def nested_page_rows(answers: HostAnswers) -> list[Row]:
    """Return the rows of a page with several parts: one row per part and key."""
    rows: list[Row] = []
    for host, page in sorted(answers.values.items()):
        if not isinstance(page, dict):
            continue
        for part, values in page.items():
            for key, value in _flatten(values):
                rows.append({"reported_by": host, "part": part, "key": key, "value": value})
    return rows


def _flatten(values: object) -> list[tuple[str, object]]:
    """Return pairs of key and value; the first value of an object in a list labels the others."""
    if not isinstance(values, dict):
        return [("value", values)]
    pairs: list[tuple[str, object]] = []
    for key, value in values.items():
        if isinstance(value, list):
            for item in value:
                (_, label), *rest = item.items()
                pairs += [(f"{key} {label}: {name}", number) for name, number in rest]
        else:
            pairs.append((key, value))
    return pairs


def counter_rows(answers: HostAnswers) -> list[Row]:
    """Return one row per counter, summed over the hosts."""
    totals: dict[str, int] = {}
    for page in answers.values.values():
        if isinstance(page, dict):
            for name, amount in page.items():
                totals[name] = totals.get(name, 0) + int(amount)
    return [{"counter": name, "total": totals[name]} for name in sorted(totals)]
