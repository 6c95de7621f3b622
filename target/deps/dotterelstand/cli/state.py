"""Rows for the pages of the control ports."""

from dotterelstand.cli.client import HostAnswers
from dotterelstand.cli.output import Row


def list_rows(answers: HostAnswers) -> list[Row]:
    """Rows of a page that is a list of flat objects, each with the host that reports it."""
    rows: list[Row] = []
    for host, page in sorted(answers.values.items()):
        items = page if isinstance(page, list) else [page]
        rows.extend({"reported_by": host, **item} for item in items if isinstance(item, dict))
    return rows


def group_rows(answers: HostAnswers) -> list[Row]:
    """Rows of a group page: one row per part and key."""
    rows: list[Row] = []
    for host, page in sorted(answers.values.items()):
        if not isinstance(page, dict):
            continue
        for part, values in page.items():
            for key, value in _flatten(values):
                rows.append({"reported_by": host, "part": part, "key": key, "value": value})
    return rows


def _flatten(values: object) -> list[tuple[str, object]]:
    """Keys and values of a part; the items of a list are named by their first value."""
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


def sum_counters(answers: HostAnswers) -> list[Row]:
    """One row per counter, summed over the hosts."""
    totals: dict[str, int] = {}
    for page in answers.values.values():
        if isinstance(page, dict):
            for name, amount in page.items():
                totals[name] = totals.get(name, 0) + int(amount)
    return [{"counter": name, "total": totals[name]} for name in sorted(totals)]
