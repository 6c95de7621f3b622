"""A daemon is stopped while clients have two reads at a time on their connections."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from client import Broken, Connection, new_id  # noqa: E402
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Bench, Clients, run_case  # noqa: E402
from store import route  # noqa: E402

ZONES = {"ost-a": "ost", "ost-b": "ost"}
INSTANCES, SLOTS, QUEUE, WORK_S = 4, 4, 8, 0.22
CLIENTS = 8
CALM_S, GRACE_S, STOPS = 4.0, 6.0, 6
# The balancer asks once a second, and two misses take a daemon out of rotation.
ROTATION_S = 2.0


class PipeliningClients:
    """Clients that send a second read before the first is answered.

    A client ends its connection after an answer with `Connection: close`; what it sent behind that
    request counts as not read, and is sent again with a new id. `unread` holds the ids of these,
    `successes_after_close` those of which a success came on the connection all the same.
    """

    def __init__(self, record):
        self.record = record
        self.answered = 0
        self.unread = []
        self.successes_after_close = []
        self.stopping = False
        # Daemons that get no new connections.
        self.out_of_rotation = set()

    async def loop(self, daemons, number):
        """Send pairs of reads on kept connections to the daemons that are in rotation."""
        while not self.stopping:
            used = [daemon for daemon in daemons if daemon not in self.out_of_rotation]
            connection = Connection(used[number % len(used)].address)
            try:
                await connection.connect()
                while connection.open and not self.stopping:
                    await self.send_pair(connection)
            except (OSError, asyncio.TimeoutError, Broken):
                await asyncio.sleep(0.2)
            connection.close()

    async def send_pair(self, connection):
        """Send two reads at once and read their answers in order."""
        ids = [new_id(), new_id()]
        for request_id in ids:
            self.record(f"client sends {request_id}")
            connection.send("GET", "/plan/1", request_id, 2500)
        for position, request_id in enumerate(ids):
            answer = await connection.receive()
            closes = "closes" if connection.will_close else "keeps"
            self.record(f"client: {request_id} answered {answer.status}, {closes} the connection")
            self.answered += answer.status == 200
            if connection.will_close:
                for behind in ids[position + 1 :]:
                    self.record(f"client: {behind} was sent behind a closing answer")
                    self.unread.append(behind)
                    await self.look_for_answer(connection, behind)
                return

    async def look_for_answer(self, connection, request_id):
        """Look at what still comes on the connection, for the record only."""
        try:
            answer = await asyncio.wait_for(connection.receive(), 2)
        except (Broken, asyncio.TimeoutError):
            return
        self.record(f"client: {request_id} answered {answer.status} on a closed connection")
        if answer.status == 200:
            self.successes_after_close.append(request_id)


async def play(record, say, folder):
    bench = Bench(ZONES, record, folder)
    clients = PipeliningClients(record)
    try:
        for _ in range(INSTANCES):
            await bench.add_instance("plan", "ost-a", SLOTS, QUEUE, WORK_S)
        await bench.start([route("plan", "/plan/", "safe")], ["plan"])
        tasks = [
            asyncio.create_task(clients.loop(bench.daemons, number)) for number in range(CLIENTS)
        ]
        for number in range(STOPS):
            await asyncio.sleep(CALM_S)
            daemon = bench.daemons[number % len(bench.daemons)]
            if TROUBLE:
                daemon.signal(signal.SIGTERM)
                await asyncio.sleep(ROTATION_S)
                clients.out_of_rotation.add(daemon)
                await asyncio.wait_for(daemon.process.wait(), GRACE_S - ROTATION_S)
                record(f"{daemon.name} ended")
                await daemon.start()
                await daemon.wait_ready()
                clients.out_of_rotation.discard(daemon)
        clients.stopping = True
        await asyncio.gather(*tasks)
    finally:
        await bench.end()
    runs = bench.runs()
    lost = [request_id for request_id in clients.unread if runs[request_id]]
    say(f"reads answered 200: {clients.answered}")
    say(f"reads sent behind a closing answer: {len(clients.unread)}, run: {len(lost)}")
    after = clients.successes_after_close
    say(f"successes on a connection after a closing answer: {len(after)}, as {after[:5]}")
    if clients.answered < 50:
        return NOT_RUN
    return BROKEN if after else HELD


run_case(HERE, play)
