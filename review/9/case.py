"""Standing schedules fill the scheduling node's memory, on one node after the other.

Clients hand in jobs that repeat (`RepeatCount`), each with one small task every
five minutes for thirty days. All are accepted. Plain jobs go on beside them. The
platform kills a process that goes over `MemoryMb`, and starts it again.

With TROUBLE=0 the schedules aren't handed in.
"""

import asyncio, os, shutil, tempfile, time
from standin import Runner, World, now_s, run

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260          # `MemoryMb` of the settings
SCHEDULES = 80
ROUNDS = 8_640           # every five minutes for thirty days
INTERVAL_MS = 300_000
RESTART_S = 0.5          # the short delay after which an ended process starts again
STILL_S = 3.0            # LOST: for 3 s a job has nothing running
CALM_S = 4.0             # and the 4 s before are calm
PLAIN_S = 70.0

ROUTES = [
    dict(Name="r-quick", Host="a.example", PathPrefix="/aa/", Type="non_idempotent", TimeoutMs=3000,
         TargetLatencyMs=600, Priority=0, Service="pa", MaxAttempts=4, Extension=1.6),
    dict(Name="r-timed", Host="b.example", PathPrefix="/bb/", Type="non_idempotent", TimeoutMs=3000,
         TargetLatencyMs=2500, Priority=0, Service="pb", MaxAttempts=4, Extension=2.2),
]
SERVICES = [dict(Name=name, HealthPath="/health", MaxConns=64, EnforcesCapacity=True, Headroom=False)
            for name in ("pa", "pb")]


def runners(fleet):
    for number in range(8):
        pool = "pa" if number < 4 else "pb"
        yield Runner(fleet, f"m-{number:05x}", pool, 32_000, 131_072, ["a", f"r1-{number // 4}"])


def resident_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Starts ended processes again, and ends those over the memory limit."""

    def __init__(self, world):
        self.world = world
        self.ends = []
        self.peak_mb = 0.0
        self.stopping = False

    async def watch(self, node):
        while not self.stopping:
            await asyncio.sleep(0.05)
            if node.process.returncode is None:
                try:
                    used = resident_mb(node.process)
                except OSError:
                    continue
                self.peak_mb = max(self.peak_mb, used)
                if used <= MEMORY_MB:
                    continue
                await node.kill()
                self.world.record.add("over-memory", node=node.name, mb=round(used))
            else:
                self.world.record.add("ended", node=node.name, status=node.process.returncode)
            self.ends.append((now_s(), node.name))
            await asyncio.sleep(RESTART_S)
            if not self.stopping:
                await node.launch()
                self.world.record.add("started-again", node=node.name)


async def plain_jobs(world, ids):
    until = now_s() + PLAIN_S
    while now_s() < until:
        job = dict(Spec="plain", Steps=[dict(Count=2, Cpu=1000, MemMb=256, EstimateMs=500)], _work={0: 0.5})
        asyncio.ensure_future(one_plain(world, job, ids))
        await asyncio.sleep(1.0)


async def one_plain(world, job, ids):
    id = await world.submit("r-quick", job, tries=4)
    if id in world.fleet.accepted:
        ids.append(id)


async def schedules(world, ids):
    start_at = int(time.time() * 1000) + 3_600_000
    for _ in range(SCHEDULES):
        job = dict(Spec="scheduled", Steps=[dict(Count=1, Cpu=500, MemMb=256, EstimateMs=500)],
                   RepeatCount=ROUNDS, StartAtMs=start_at, IntervalMs=INTERVAL_MS)
        asyncio.ensure_future(one_schedule(world, job, ids))
        await asyncio.sleep(0.25)


async def one_schedule(world, job, ids):
    id = await world.submit("r-timed", job, tries=8)
    if id in world.fleet.accepted:
        ids.append(id)


def waits(world, ids):
    """Returns how long each plain job has gone without a start, in seconds."""
    now = now_s()
    found = {}
    for id in ids:
        starts = [at for index in range(2) for at, _, _ in world.fleet.starts.get(f"{id}.0.0.{index}", [])]
        begun = min(starts) if starts else now
        found[id] = begun - world.fleet.accepted[id]
    return found


async def main():
    folder = tempfile.mkdtemp(prefix="case9-")
    here = os.path.dirname(os.path.abspath(__file__))
    world = World(folder, os.path.join(here, "../../target/release/dewspard"), os.path.join(here, "record.txt"))
    platform = Platform(world)
    try:
        await world.start(runners, ROUTES, SERVICES)
        if not await world.ready():
            return 2
        watches = [asyncio.ensure_future(platform.watch(node)) for node in world.nodes]
        await asyncio.sleep(2)
        plain, timed = [], []
        work = [plain_jobs(world, plain)]
        if TROUBLE:
            work.append(schedules(world, timed))
        await asyncio.gather(*work)
        await asyncio.sleep(STILL_S + CALM_S)
        states = {}
        for id in plain:
            states[id] = await world.state("r-quick", id, tries=3)
        open_jobs = [id for id in plain if states[id] != "completed"]
        waited = waits(world, plain)
        late = {id: s for id, s in waited.items() if s > STILL_S + CALM_S}
        by_node = {}
        for _, name in platform.ends:
            by_node[name] = by_node.get(name, 0) + 1
        for id in late:
            world.fleet.break_rule("LOST", job=id, nothing_running_s=round(late[id], 1), state=states[id])
        if len(by_node) >= 2 and max(by_node.values()) >= 3:
            world.fleet.break_rule("Fault", own_ends=by_node)
        world.record.add("result", schedules_accepted=len(timed), plain_accepted=len(plain),
                         plain_open=len(open_jobs), longest_wait_s=round(max(waited.values(), default=0), 1),
                         own_ends=by_node, peak_mb=round(platform.peak_mb), broken=len(world.fleet.broken))
        print(world.record.rows[-1])
        if len(plain) < 10:
            return 2
        return 1 if world.fleet.broken else 0
    finally:
        platform.stopping = True
        await world.stop()
        shutil.rmtree(folder, ignore_errors=True)


run(main)
