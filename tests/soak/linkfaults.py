"""Faults of the links between hosts: reset, silenced, cut, cut one way or delayed."""

import trio

from soak.faults import FaultContext, FaultFunction
from soak.stopfaults import choose_ready_hosts, stop_and_replace

# Attributes of `LoopbackProxy` that cut its connections, and methods that break the open ones.
CUTS = ("cut", "cut_answers", "refuses")
BREAKS = ("reset", "silence")
# Time in seconds within which a host notices that a link is silent, and replaces it.
SILENCE_S = 4.0
# Names of the hosts that dial and accept the connections of links.
Links = list[tuple[str, str]]


def _choose_links(context: FaultContext) -> Links:
    """Choose one direction of a link, the links of one host, or those between two regions."""
    dialler, peer = context.rng.choice(pairs := sorted(context.fleet.link_proxies))
    scope = context.rng.choice(["connection", "link", "host", "regions"])
    if scope == "host":
        return [pair for pair in pairs if dialler in pair]
    if scope == "regions":
        regions = {name: host.region for name, host in context.fleet.hosts.items()}
        ends = {regions[dialler], (regions[dialler] + 1) % 3}
        return [pair for pair in pairs if {regions[name] for name in pair} == ends]
    return [(dialler, peer), (peer, dialler)][: 1 if scope == "connection" else 2]


async def _break_links(
    context: FaultContext, links: Links, mode: str, seconds: float = SILENCE_S, value: float = True
) -> None:
    """Break links in one of the ways of `CUTS` and `BREAKS`, or set an attribute, for a time.

    In half of the cases a new configuration version meets the broken links.
    """
    for name in {name for pair in links for name in pair}:
        context.fleet.add_fault_interval(name, seconds)
    proxies = [context.fleet.link_proxies[pair] for pair in links]
    for proxy in proxies:
        if mode in BREAKS:
            getattr(proxy, mode)()
        else:
            setattr(proxy, mode, value)
        if mode == "refuses":
            proxy.reset()
    if context.rng.random() < 0.5:
        context.fleet.accept_configuration()
    if mode in BREAKS:
        return
    await trio.sleep(seconds)
    for proxy in proxies:
        setattr(proxy, mode, type(value)())
        # Connections that lost data during the cut are reset, as after a TCP timeout.
        if mode in CUTS:
            proxy.reset()


async def links_reset(context: FaultContext) -> None:
    """Reset links 1 to 6 times in quick succession."""
    for _ in range(context.rng.randint(1, 6)):
        await _break_links(context, _choose_links(context), "reset")
        await trio.sleep(context.rng.uniform(0.0, 0.5))


async def links_silenced(context: FaultContext) -> None:
    """Drop all data of open links for good; new ones work."""
    await _break_links(context, _choose_links(context), "silence")


async def links_cut(context: FaultContext) -> None:
    """Cut links, in both directions or one way, or refuse them, for 0.2 to 8 s."""
    mode, seconds = context.rng.choice(CUTS), context.rng.uniform(0.2, 8.0)
    await _break_links(context, _choose_links(context), mode, seconds)


async def links_delayed(context: FaultContext) -> None:
    """Delay the data of links by up to 1.5 s."""
    delay_s, seconds = context.rng.uniform(0.02, 1.5), context.rng.uniform(0.5, 6.0)
    await _break_links(context, _choose_links(context), "delay_s", seconds, delay_s)


async def links_broken_at_a_stop(context: FaultContext) -> None:
    """Stop a host and start it again while its links, or those of others, break in series."""
    async with trio.open_nursery() as nursery:
        for host in choose_ready_hosts(context, 1):
            own = [pair for pair in context.fleet.link_proxies if host.name in pair]
            for _ in range(context.rng.randint(1, 3)):
                links = context.rng.choice([own, _choose_links(context)])
                mode, seconds = context.rng.choice(CUTS + BREAKS), context.rng.uniform(0.2, 8.0)
                nursery.start_soon(_break_links, context, links, mode, seconds)
                await trio.sleep(context.rng.uniform(0.0, 1.0))
                if host.stop_began_at is None:
                    nursery.start_soon(stop_and_replace, context, host)


FAULTS_BY_HAND: tuple[FaultFunction, ...] = (
    links_reset,
    links_silenced,
    links_cut,
    links_delayed,
    links_broken_at_a_stop,
)
