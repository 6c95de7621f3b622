"""Adapter for a platform whose store holds the configuration and the target registrations."""

import random
from collections.abc import Callable

import trio

from dotterelstand.process.discovery.catalogue import Catalogue, ServiceDefaults
from dotterelstand.process.discovery.evacuationfeed import EvacuationFeed
from dotterelstand.process.discovery.evacuations import Evacuations
from dotterelstand.process.discovery.freshness import ProofLedger
from dotterelstand.process.discovery.platformfeed import PlatformFeed, WatchSettings
from dotterelstand.process.discovery.proofs import HostProofs
from dotterelstand.process.discovery.proofsource import ProofSource
from dotterelstand.process.discovery.registry import Kind, Platform
from dotterelstand.process.discovery.relayedplatform import RelayedPlatform
from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.request.interfaces import Freshness
from dotterelstand.settings import Settings
from dotterelstand.version.model import Document

# Longest interval of proofs as a share of the revocation limit. The rest is for asking other hubs
# and the store if the first call fails.
INTERVAL_SHARE = 0.3
# Longest wait of a watch of the evacuations, in seconds. Of a watch that the store lost, only its
# end tells, and an evacuation must be followed within 5 s.
EVACUATION_WATCH_S = 5.0


class ObjectStoreAdapter:
    """Implements `PlatformAdapter` over a `Platform`; has no keyed routes and so no journal."""

    __slots__ = (
        "_apply",
        "_catalogue",
        "_evacuation_feed",
        "_feed",
        "_peers",
        "_proof_source",
        "_proofs",
        "_relayed_platform",
    )

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        peers: Peers,
        rng: random.Random,
        apply: Callable[[Document], None],
        clock: Callable[[], float],
    ) -> None:
        evacuations = Evacuations() if settings.flag("evacuation", "enabled") else None
        self._catalogue = Catalogue(
            parse_regions(settings), _service_defaults(settings), evacuations
        )
        self._apply = apply
        self._peers = peers
        self._proofs: HostProofs | None = None
        self._proof_source: ProofSource | None = None

        def own_host() -> ListedHost:
            return ListedHost(
                peers.host,
                settings.text("peers", "address"),
                peers.port,
                False,
                peers.region,
                settings.text("host", "availability_zone"),
                peers.capacity,
            )

        limit_s = settings.number("access", "revocation_limit_s")
        ledger = ProofLedger(limit_s)
        interval_s = min(settings.number("access", "proof_interval_s"), INTERVAL_SHARE * limit_s)
        strict = settings.flag("access", "strict_revocation")
        if strict:
            self._proof_source = ProofSource(platform, ledger, peers.metrics, interval_s, clock)
        self._relayed_platform = RelayedPlatform(
            platform, peers, peers.metrics, _watch_pauses(settings), rng, self._proof_source
        )
        if strict:
            self._proofs = HostProofs(
                peers,
                peers.metrics,
                ledger,
                self._relayed_platform.prove,
                lambda: self._relayed_platform.era,
                interval_s,
                clock,
                rng,
            )
        self._feed = PlatformFeed(
            self._relayed_platform,
            self._catalogue,
            own_host,
            _watch_settings(settings),
            rng,
            self._apply_document,
            peers.update_host_list,
            peers.wait_became_hub,
        )
        self._evacuation_feed: EvacuationFeed | None = None
        if evacuations is not None:
            self._evacuation_feed = EvacuationFeed(
                self._relayed_platform,
                self._catalogue,
                evacuations,
                min(EVACUATION_WATCH_S, settings.number("store", "watch_wait_s")),
                rng,
                self._feed.publish,
                peers.metrics,
                self._feed.note_revision,
            )

    @property
    def number(self) -> int:
        """Number of the configuration in force."""
        return self._catalogue.number

    @property
    def journal(self) -> None:
        """None, since no route of this platform uses idempotency keys."""
        return None

    @property
    def freshness(self) -> Freshness | None:
        """Proof that the document in force is current, with `access.strict_revocation`."""
        return self._proofs

    @property
    def has_host_list(self) -> bool:
        """Whether the list of entry hosts has been read."""
        return self._feed.has_host_list

    @property
    def host_list_attempted(self) -> trio.Event:
        """Set after the first attempt to read the list of entry hosts."""
        return self._feed.host_list_attempted

    @property
    def is_relay(self) -> bool:
        """Whether this host is a relay, that is, watches the store for its region."""
        return self._relayed_platform.is_relay

    def register(self, registry: ControlRegistry, metrics: Metrics) -> None:
        """Register the readiness check for a proof; there are no control pages."""
        if self._proofs is not None:
            proofs = self._proofs
            registry.add_check("proof", lambda: proofs.is_ready)

    def reload(self, settings: Settings, changed: list[str]) -> list[str]:
        """Apply changed service defaults and regions of availability zones."""
        applied = [key for key in changed if key.startswith("service_defaults.")]
        applied += [key for key in changed if key == "host.regions"]
        if applied:
            self._catalogue.update_defaults(parse_regions(settings), _service_defaults(settings))
            self._feed.publish()
        return applied

    async def run(self) -> None:
        """Keep the document and the host list up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._relayed_platform.run)
            nursery.start_soon(self._feed.run)
            if self._evacuation_feed is not None:
                nursery.start_soon(self._evacuation_feed.run)
            if self._proofs is not None:
                nursery.start_soon(self._proofs.run)

    async def stop(self) -> None:
        """Do nothing: there is no pending state to flush."""

    def _apply_document(self, document: Document) -> None:
        self._apply(document)
        if self._proofs is not None and self._proof_source is not None:
            keyed = document.access is not None
            self._proof_source.keyed = keyed
            self._proofs.apply(document.number, keyed)
            self._peers.document_version = document.number


def parse_regions(settings: Settings) -> dict[str, str]:
    """Region of each availability zone, from "zone=region" items in the settings."""
    pairs = (item.partition("=") for item in settings.texts("host", "regions"))
    return {zone: region for zone, _, region in pairs}


def _service_defaults(settings: Settings) -> ServiceDefaults:
    section = "service_defaults"
    return ServiceDefaults(
        settings.flag(section, "hedge"),
        settings.number(section, "retry_share"),
        settings.integer(section, "max_queue_per_slot"),
        settings.number(section, "silence_timeout_s"),
    )


def _watch_settings(settings: Settings) -> WatchSettings:
    return WatchSettings(
        settings.number("store", "watch_wait_s"),
        settings.number("peers", "host_list_interval_s"),
        settings.number("peers", "bootstrap_wait_s"),
        sorted(set(parse_regions(settings).values())),
    )


def _watch_pauses(settings: Settings) -> dict[Kind, float]:
    """Pause of each kind of object that is followed."""
    pauses_s = {
        Kind.TARGETS: settings.number("store", "targets_pause_s"),
        Kind.CONFIGURATION: settings.number("store", "document_pause_s"),
    }
    if settings.flag("evacuation", "enabled"):
        pauses_s[Kind.EVACUATIONS] = settings.number("store", "document_pause_s")
    return pauses_s
