"""The accepted document is in force everywhere and never reverts."""

import pytest
import trio
from fleet import Fleet, change

from dotterelstand.standin.virtual import run_virtual

# The bound of the requirement for today's deployments.
IN_FORCE_S = 3.0


async def _three_changes(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 16, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(5)
        acceptor = fleet.acceptor("entry-00")
        for number in (1, 2, 3):
            assert (await acceptor.submit(change("quotes", 9000 + number))).unwrap() == number
            await trio.sleep(IN_FORCE_S)
            assert set(fleet.numbers().values()) == {number}
        watching = [name for name, spread in fleet.spreads.items() if spread.is_watcher()]
        assert len(watching) == 6
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(3))
def test_accepted_version_is_in_force_on_every_host(seed: int) -> None:
    """Guards against a host that an announcement does not reach."""
    run_virtual(_three_changes, seed, seed=seed)
