"""Links from one entry host to the others, and the messages sent over them."""

import random
from collections.abc import Callable
from typing import TypeVar

import trio

from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.network import Listener, Network
from dotterelstand.connection.peer import (
    OPEN_ERRORS,
    LinkError,
    LinkLimits,
    PeerLink,
    accepting_link,
    dialling_link,
    is_preferred,
)
from dotterelstand.connection.wire import Beat, Goodbye, Hello, Message
from dotterelstand.events import Event, log
from dotterelstand.process.peering import linkreports
from dotterelstand.process.peering.dialling import DialScheduler
from dotterelstand.process.peering.membership import ListedHost, Membership
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.overlay import update_roles
from dotterelstand.process.telemetry.invariant import leaf_errors
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings

M = TypeVar("M", bound=Message)

# Size in bits of the random number that distinguishes the runs of a daemon under one host name.
INCARNATION_BITS = 53
# Seconds between an unexpected error of a link and its end.
FAULT_PAUSE_S = 1.0


class Peers:
    """Implements `Mesh` over websocket links."""

    __slots__ = (
        "_accepting",
        "_became_hub",
        "_changed",
        "_dial_scheduler",
        "_handlers",
        "_heartbeat_s",
        "_hello",
        "_limits",
        "_links",
        "_listen_address",
        "_listen_port",
        "_max_links",
        "_membership",
        "_metrics",
        "_network",
        "_open_timeout_s",
        "_overflows",
        "_rng",
        "_silence_timeout_s",
        "capacity",
        "document_version",
    )

    def __init__(
        self,
        settings: Settings,
        network: Network,
        rng: random.Random,
        metrics: Metrics | None = None,
    ) -> None:
        self._network = network
        self._rng = rng
        self._listen_address = settings.text("peers", "address")
        self._listen_port = settings.integer("peers", "port")
        self._limits = LinkLimits(
            settings.integer("peers", "max_message_bytes"),
            settings.integer("peers", "max_queue"),
            settings.integer("peers", "max_queue_bytes"),
        )
        self._max_links = settings.integer("peers", "max_links")
        self.capacity = settings.number("host", "processors") * settings.number(
            "host", "processor_share"
        )
        self._heartbeat_s = settings.number("peers", "heartbeat_s")
        self._silence_timeout_s = settings.number("peers", "suspect_after_s")
        self._open_timeout_s = settings.number("peers", "connect_timeout_s")
        own = Member(
            settings.text("host", "name"),
            settings.text("host", "region"),
            settings.text("host", "availability_zone"),
            False,
        )
        incarnation = rng.getrandbits(INCARNATION_BITS)
        self._membership = Membership(
            own, incarnation, self._silence_timeout_s, settings.integer("peers", "max_members")
        )
        self._hello = self._membership.make_hello(
            self._listen_address, self._listen_port, self.capacity
        )
        self._dial_scheduler = DialScheduler(
            settings.texts("peers", "seeds"),
            settings.number("peers", "redial_min_s"),
            settings.number("peers", "redial_max_s"),
            rng,
        )
        self._links: dict[str, PeerLink] = {}
        self._accepting = 0
        self._handlers: dict[type[Message], list[Callable[[str, Message], None]]] = {}
        self._metrics = metrics or Metrics(settings.integer("metrics", "max_series"))
        self._overflows = 0
        self._changed = trio.Event()
        self._became_hub = trio.Event()
        self.document_version = 0

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._hello.host

    @property
    def region(self) -> str:
        """Region of this host."""
        return self._hello.region

    @property
    def port(self) -> int:
        """Port of the open listener."""
        return self._hello.port

    @property
    def membership(self) -> Membership:
        """Membership table that is updated from the links."""
        return self._membership

    @property
    def is_overlay(self) -> bool:
        """Whether some hosts have no direct link, so that announcements need forwarding."""
        return self._membership.is_overlay

    @property
    def is_hub(self) -> bool:
        """Whether this host has a link to every host of its region."""
        return self._membership.is_hub

    async def wait_became_hub(self) -> None:
        """Wait until this host, which is not a hub, becomes one."""
        await self._became_hub.wait()

    def members(self) -> tuple[Member, ...]:
        """Live entry hosts, this one included, sorted by name."""
        return self._membership.members(trio.current_time())

    def linked(self) -> tuple[str, ...]:
        """Names of the hosts with an open link, sorted."""
        return tuple(sorted(self._links))

    def region_of(self, host: str) -> str | None:
        """Region of a linked host, or None without a link."""
        return linkreports.region_of(self._links[host]) if host in self._links else None

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for a host; False if there is no link or its queue is full."""
        if host == self.host:
            self._dispatch(host, message)
            return True
        return self._enqueue(host, message, encode_message(message))

    def broadcast(self, message: Message) -> int:
        """Queue a message for every other linked host; returns their number."""
        data = encode_message(message)
        return sum(self._enqueue(host, message, data) for host in tuple(self._links))

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """Call `handler(sender, message)` for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)  # type: ignore[arg-type]

    @property
    def metrics(self) -> Metrics:
        """Counters of the links, updated at each heartbeat."""
        return self._metrics

    def update_host_list(self, hosts: list[ListedHost]) -> None:
        """Apply a new host list of the platform."""
        self._membership.update_host_list(hosts, trio.current_time())
        self._changed.set()

    def leave(self) -> None:
        """Announce that this host is leaving; the links stay open."""
        self._membership.leave()
        self.broadcast(Beat(True, self.document_version))

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Maintain the links until cancelled; raises `OSError` if the port cannot be opened."""
        listener = await self._network.listen(self._listen_address, self._listen_port)
        self._hello.port = listener.port
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._accept, listener, nursery)
            nursery.start_soon(self._send_heartbeats)
            task_status.started()
            await self._maintain_links(nursery)

    async def send_goodbye(self) -> None:
        """Send a goodbye to every peer, and wait briefly for the messages to be sent."""
        self.broadcast(Goodbye())
        await trio.sleep(0.05)

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        await listener.serve(self._serve_stream, nursery)

    async def _serve_stream(self, stream: trio.abc.Stream) -> None:
        with accepting_link(stream, self._limits) as link:
            if self._accepting + len(self._links) >= self._max_links:
                self._metrics.count("peers.links_refused")
                return
            self._accepting += 1
            try:
                opened = await self._handshake(link, self._accept_hello)
            finally:
                self._accepting -= 1
            if opened:
                await self._run_link(link)

    async def _dial(self, address: str, port: int) -> None:
        """Try once to open a link, and run it until it closes."""
        try:
            with trio.fail_after(self._open_timeout_s):
                stream = await self._network.connect(address, port)
        except (OSError, trio.TooSlowError):
            self._dial_scheduler.record_failure(address, port, trio.current_time())
            self._changed.set()
            return
        with dialling_link(stream, address, self._limits) as link:
            if await self._handshake(link, self._exchange_hello):
                assert link.hello is not None
                self._dial_scheduler.record_success(address, port, link.peer)
                await self._run_link(link)
            else:
                self._dial_scheduler.record_failure(address, port, trio.current_time())
        self._changed.set()

    async def _handshake(self, link: PeerLink, exchange_hellos: Callable) -> bool:  # type: ignore[type-arg]
        try:
            with trio.fail_after(self._open_timeout_s):
                await link.perform_handshake()
                return await exchange_hellos(link)
        except (*OPEN_ERRORS, trio.TooSlowError) as error:
            self._metrics.count("peers.open_failures")
            if isinstance(error, LinkError) and "malformed" in str(error):
                log(Event.PEER_MALFORMED, peer="", reason=str(error))
            link.close("failed while it was opened")
        except Exception as error:
            linkreports.note_fault(self._metrics, link, [error])
        self._unregister_link(link)
        return False

    async def _accept_hello(self, link: PeerLink) -> bool:
        # The accepting side sends its hello only after it has accepted the link, so that the
        # dialling side never uses a link that is about to be refused.
        await link.receive_hello()
        if not self._register_link(link):
            return False
        await link.send_now(encode_message(self._hello))
        return True

    async def _exchange_hello(self, link: PeerLink) -> bool:
        await link.send_now(encode_message(self._hello))
        hello = await link.receive_hello()
        if hello.host == self.host:
            return False
        return self._register_link(link)

    def _register_link(self, link: PeerLink) -> bool:
        """Make a link the only one to its peer; False if refused or if the older link is kept."""
        hello = link.hello
        assert hello is not None
        old = self._links.get(hello.host)
        if old is None and len(self._links) >= self._max_links:
            self._metrics.count("peers.links_refused")
            return False
        was_unreachable = self._membership.is_unreachable(hello.host)
        if not self._membership.admit(hello, trio.current_time()):
            log(Event.PEER_REFUSED, peer=hello.host, incarnation=hello.incarnation)
            return False
        if old is not None and not is_preferred(link, old, self.host):
            return False
        if was_unreachable:
            self._changed.set()
        self._links[hello.host] = link
        if old is not None:
            for data in old.take_queue():
                link.enqueue(data)
            old.retire()
        else:
            log(Event.PEER_LINKED, peer=hello.host, region=hello.region)
        link.enqueue(encode_message(self._make_beat()))
        return True

    async def _run_link(self, link: PeerLink) -> None:
        try:
            self._dispatch(link.peer, link.hello)  # type: ignore[arg-type]
            await link.run(lambda message: self._receive(link, message))
        except* Exception as group:
            linkreports.note_fault(self._metrics, link, leaf_errors(group))
            # Both ends keep the link meanwhile, since they would open the next one at once.
            await trio.sleep(FAULT_PAUSE_S)
        finally:
            linkreports.count_bytes(self._metrics, link, self.region)
            self._unregister_link(link)

    def _unregister_link(self, link: PeerLink) -> None:
        """Remove a link unless another one has replaced it."""
        if link.hello is not None and self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._changed.set()
            linkreports.log_end(link)

    def _receive(self, link: PeerLink, message: Message) -> None:
        assert link.hello is not None
        self._metrics.count(f"peers.received.{type(message).__name__}")
        now = trio.current_time()
        if isinstance(message, Beat):
            if self._membership.record_heartbeat(
                link.peer, link.hello.incarnation, message.leaving, now
            ):
                self._changed.set()
        elif isinstance(message, Goodbye):
            self._membership.record_goodbye(link.peer, link.hello.incarnation)
        elif isinstance(message, Hello):
            raise LinkError("malformed frame: second Hello on a link")
        self._dispatch(link.peer, message)

    def _dispatch(self, sender: str, message: Message) -> None:
        for handler in self._handlers.get(type(message), ()):
            handler(sender, message)

    def _enqueue(self, host: str, message: Message, data: bytes) -> bool:
        link = self._links.get(host)
        if link is None:
            return False
        kind = type(message).__name__
        if not link.enqueue(data):
            if self._metrics.value("peers.dropped") == 0:
                log(Event.PEER_QUEUE_FULL, peer=host, type=kind)
            self._metrics.count("peers.dropped")
            return False
        scope = "local" if self.region_of(host) == self.region else "other"
        self._metrics.count(f"peers.message_bytes.{scope}.{kind}", len(data))
        return True

    def _make_beat(self) -> Beat:
        own = next(member for member in self.members() if member.host == self.host)
        return Beat(own.leaving, self.document_version)

    async def _send_heartbeats(self) -> None:
        while True:
            self.broadcast(self._make_beat())
            now = trio.current_time()
            self._membership.remove_expired(now)
            self._metrics.count(
                "peers.member_overflows", self._membership.overflows - self._overflows
            )
            self._overflows = self._membership.overflows
            for link in tuple(self._links.values()):
                linkreports.count_bytes(self._metrics, link, self.region)
                if now - link.last_received_s > self._silence_timeout_s:
                    link.close("silent")
            # The jitter spreads the heartbeats of hosts that started together.
            await trio.sleep(self._heartbeat_s * self._rng.uniform(0.9, 1.0))

    async def _maintain_links(self, nursery: trio.Nursery) -> None:
        while True:
            self._changed = trio.Event()
            now = trio.current_time()
            wanted = self._choose_peers(now)
            self._close_unwanted_links({item.host for item in wanted})
            for address, port in self._dial_scheduler.select_addresses(
                wanted, frozenset(self._links), now
            ):
                nursery.start_soon(self._dial, address, port)
            with trio.move_on_after(self._dial_scheduler.next_dial_delay_s(now)):
                await self._changed.wait()

    def _close_unwanted_links(self, wanted: set[str]) -> None:
        """Close the links that this host opened to hosts that it does not choose any more.

        A peer that still wants such a link opens it again from its side.
        """
        for host, link in tuple(self._links.items()):
            if link.dialled and host not in wanted and not self._dial_scheduler.is_seed(host):
                link.close("no longer needed")

    def _choose_peers(self, now: float) -> list[ListedHost]:
        was_hub = self._membership.is_hub
        chosen = update_roles(self._membership, self.capacity, now)
        if self._membership.is_hub and not was_hub:
            self._became_hub.set()
            self._became_hub = trio.Event()
        return chosen
