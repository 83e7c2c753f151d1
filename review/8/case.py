"""The whole service stops beside a sound, idle runner.

A service has three runners and a steady stream of short jobs. Two runners are
lost for good, one after the other, the second soon after the first one's tasks
have started again. The third is sound, answers, and has room for all that comes.

With TROUBLE=0 no runner is lost.
"""

import asyncio, os, shutil, tempfile
from standin import Runner, World, now_s, run

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 3
TRAFFIC_S = 50.0
GAP_S = 0.35             # between two jobs
WORK_S = 0.8
FIRST_S = 8.0            # when the first runner is lost
SOON_S = 0.4             # from the restart of its tasks to the loss of the next runner
FINISH_S = 14.0          # `finish_s`
STILL_S = 3.0            # LOST: for 3 s a job has nothing running,
CALM_S = 4.0             # and the 4 s before are calm as well

ROUTES = [
    dict(Name="r-quick", Host="a.example", PathPrefix="/aa/", Type="non_idempotent", TimeoutMs=3000,
         TargetLatencyMs=600, Priority=0, Service="pa", MaxAttempts=4, Extension=1.6),
]
SERVICES = [dict(Name="pa", HealthPath="/health", MaxConns=64, EnforcesCapacity=True, Headroom=False)]


def runners(fleet):
    for number in range(RUNNERS):
        yield Runner(fleet, f"m-{number:05x}", "pa", 32_000, 131_072, ["a", f"r1-{number // 4}"])


class Case:
    def __init__(self, world):
        self.world = world
        self.ids = []            # accepted short jobs
        self.still = {}          # the longest calm time without a run, by job
        self.calm_from = 0.0

    async def traffic(self):
        until = now_s() + TRAFFIC_S
        while now_s() < until:
            step = dict(Count=1, Cpu=2300, MemMb=4700, EstimateMs=800)
            asyncio.ensure_future(self.short_job(dict(Spec="quick", Steps=[step], _work={0: WORK_S})))
            await asyncio.sleep(GAP_S)

    async def short_job(self, job):
        id = await self.world.submit("r-quick", job, tries=4)
        if id in self.world.fleet.accepted:
            self.ids.append(id)

    async def lose_runners(self):
        await asyncio.sleep(FIRST_S)
        runners = self.world.fleet.runners
        first = max(runners, key=lambda runner: len(runner.runs))
        lost = set(first.runs)
        self.lose(first)
        for _ in range(1_000):
            await asyncio.sleep(0.01)
            second = next((r for r in runners if r.state == "up" and lost & set(r.runs)), None)
            if second:
                await asyncio.sleep(SOON_S)
                self.lose(second)
                return

    def lose(self, runner):
        asyncio.ensure_future(runner.crash(3600))
        self.calm_from = now_s() + CALM_S

    def has_room_twice(self, job):
        """Whether some sound runner has room for the job's task twice over."""
        step = self.world.fleet.jobs[job]["Steps"][0]
        for runner in self.world.fleet.runners:
            cpu, mem = runner.used()
            if runner.state == "up" and runner.cpu - cpu >= 2 * step["Cpu"] and runner.mem - mem >= 2 * step["MemMb"]:
                return True
        return False

    async def watch(self):
        since = {}
        while True:
            await asyncio.sleep(0.05)
            for id in list(self.ids):
                task = f"{id}.0.0.0"
                over = task in self.world.fleet.done or self.world.fleet.where(task)
                if over or now_s() < self.calm_from or not self.has_room_twice(id):
                    since.pop(id, None)
                    continue
                begun = since.setdefault(id, now_s())
                self.still[id] = max(self.still.get(id, 0), now_s() - begun)


async def main():
    folder = tempfile.mkdtemp(prefix="case8-")
    here = os.path.dirname(os.path.abspath(__file__))
    world = World(folder, os.path.join(here, "../../target/release/dewspard"), os.path.join(here, "record.txt"))
    try:
        await world.start(runners, ROUTES, SERVICES)
        if not await world.ready():
            return 2
        await asyncio.sleep(1)
        case = Case(world)
        watching = asyncio.ensure_future(case.watch())
        await asyncio.gather(case.traffic(), case.lose_runners() if TROUBLE else asyncio.sleep(0))
        await asyncio.sleep(FINISH_S)
        watching.cancel()
        late = {id: s for id, s in case.still.items() if s > STILL_S}
        for id, s in late.items():
            world.fleet.break_rule("LOST", job=id, nothing_running_s=round(s, 1))
        world.record.add("result", accepted=len(case.ids), done=len(world.fleet.done), late=len(late),
                         longest_s=round(max(case.still.values(), default=0), 1), broken=len(world.fleet.broken))
        print(world.record.rows[-1])
        return 1 if world.fleet.broken else 0
    finally:
        await world.stop()
        shutil.rmtree(folder, ignore_errors=True)


run(main)
