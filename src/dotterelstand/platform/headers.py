"""Header fields that the platform's clients, the entry hosts and the instances exchange."""

from dotterelstand.request.fields import HeaderFields

PLATFORM_FIELDS = HeaderFields(
    request_id=b"x-dotterelstand-request-id",
    deadline=b"x-dotterelstand-deadline-ms",
    target=b"x-dotterelstand-target-instance",
    load=b"x-dotterelstand-server-load",
    # The platform's pages write the first name; its other fields begin like the second.
    draining=(b"server-leaving", b"x-dotterelstand-server-leaving"),
    not_run=b"x-dotterelstand-not-executed",
    # 421 Misdirected Request: the address now belongs to another instance; nothing was run.
    not_run_statuses=frozenset({421}),
    signature=b"x-dotterelstand-server-signature",
    identity=b"x-dotterelstand-instance-id",
    # An answer without an id is a late one to a health check, which has no id.
    echoes_request_id=True,
    workspace=b"x-dotterelstand-tenant",
    warmup=b"x-dotterelstand-warmup-ms",
)
