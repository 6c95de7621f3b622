"""State and services that all requests of one entry host share."""

import trio

from dotterelstand.connection.pool import TargetPool
from dotterelstand.request.fields import DEFAULT_FIELDS, HeaderFields
from dotterelstand.request.interfaces import (
    Counters,
    Freshness,
    Journal,
    LeavingTargets,
    Quota,
    Slots,
    Suspects,
)
from dotterelstand.request.policy import ServicePolicy
from dotterelstand.request.retryreserve import RetryReserve
from dotterelstand.request.split import TrafficSplits
from dotterelstand.request.stopplan import StopPlan
from dotterelstand.version.model import Service
from dotterelstand.version.route import Route

# Maximum number of services with a retry budget and latency samples; the oldest is evicted.
MAX_SERVICES = 3500


class RequestLimits:
    """Limits on attempts, held request bodies and recorded answers; minimum rate of retries."""

    __slots__ = ("held_body_bytes", "max_attempts", "max_recorded_bytes", "retry_min_per_s")

    def __init__(
        self,
        max_attempts: int,
        retry_min_per_s: float,
        held_body_bytes: int,
        max_recorded_bytes: int,
    ) -> None:
        self.max_attempts = max_attempts
        self.retry_min_per_s = retry_min_per_s
        self.held_body_bytes = held_body_bytes
        self.max_recorded_bytes = max_recorded_bytes


class RequestContext:
    """Dependencies of request handling: pool, slots, journal, quarantine, metrics.

    `freshness` is None if keys need no proof that the document is current, and `quota` if no
    quota is enforced.
    """

    __slots__ = (
        "_policies",
        "_retry_reserve",
        "_traffic_splits",
        "fields",
        "freshness",
        "journal",
        "leaving_targets",
        "limits",
        "metrics",
        "pool",
        "quota",
        "slots",
        "stop_plan",
        "suspects",
    )

    def __init__(
        self,
        limits: RequestLimits,
        pool: TargetPool,
        slots: Slots,
        journal: Journal | None,
        suspects: Suspects,
        metrics: Counters,
        leaving_targets: LeavingTargets,
        fields: HeaderFields = DEFAULT_FIELDS,
        retry_reserve: RetryReserve | None = None,
        stop_plan: StopPlan | None = None,
        freshness: Freshness | None = None,
        quota: Quota | None = None,
    ) -> None:
        self.freshness = freshness
        self.quota = quota
        self._retry_reserve = retry_reserve
        self.stop_plan = stop_plan or StopPlan()
        self.fields = fields
        self._traffic_splits = TrafficSplits()
        self.limits = limits
        self.pool = pool
        self.slots = slots
        self.journal = journal
        self.suspects = suspects
        self.metrics = metrics
        self.leaving_targets = leaving_targets
        self._policies: dict[str, ServicePolicy] = {}

    def choose_service(self, route: Route) -> str:
        """Choose the service for the next request of a route by its traffic split."""
        return self._traffic_splits.choose(route)

    def policy(self, service: Service) -> ServicePolicy:
        """Retry budget and latency samples of a service, created on first use."""
        policy = self._policies.get(service.name)
        if policy is None:
            if len(self._policies) >= MAX_SERVICES:
                del self._policies[next(iter(self._policies))]
            policy = ServicePolicy(
                service.retry_share, self.limits.retry_min_per_s, self._retry_reserve
            )
            self._policies[service.name] = policy
        # A new document may have changed the retry share.
        policy.budget.share = service.retry_share
        return policy

    def count_request(self, service: Service) -> None:
        """Count a request, which adds to the retry budget of its service."""
        self.policy(service).budget.count_request(trio.current_time())
