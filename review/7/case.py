"""A former holder starts a task on a runner that has started again.

The node that schedules is cut off from the store and from the other nodes, and
goes on with the jobs it knows; another takes over and asks all runners. Then an
idle runner crashes and starts again under its identifier, cut off from the store
and from the new holder's node. A job falls due that both nodes know.

With TROUBLE=0 nothing is cut off, and no runner crashes.
"""

import asyncio, os, shutil, tempfile, time
from standin import Runner, World, now_s, run

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 6                # one is a share of 0.17, as in the site file's `node_cut`
RUNNERS = 5              # one is a share of 0.2, as of `srv_cut`
CUT_S = 5.5              # how long the node is cut off
DUE_AFTER_CUT_S = 4.6    # when the job falls due
RESTART_BEFORE_S = 0.6   # how long before that the runner has started again
WORK_S = 3.0
TOKENS_PER_HOLDER = 1024

ROUTES = [dict(Name="r-quick", Host="a.example", PathPrefix="/aa/", Type="non_idempotent", TimeoutMs=3000,
               TargetLatencyMs=600, Priority=0, Service="pa", MaxAttempts=4, Extension=1.6)]
SERVICES = [dict(Name="pa", HealthPath="/health", MaxConns=64, EnforcesCapacity=True, Headroom=False)]


class BornRunner(Runner):
    """A runner that says when it was started, and keeps its identifier."""

    cut_from = None          # orders under this token and higher ones come from a path that is cut

    def reborn(self):
        id = getattr(self, "id", None)
        super().reborn()
        self.id = id or self.id
        self.born_unix_ms = int(time.time() * 1000)

    def entry(self):
        text = super().entry()
        return text[:-1] + f', "born": {self.born_unix_ms}}}'

    async def handle(self, method, path, query, headers, body):
        import json
        token = json.loads(body).get("FencingToken", 0) if body else 0
        if self.cut_from is not None and token >= self.cut_from:
            self.fleet.record.add("dropped", runner=self.id, token=token, call=path)
            return None
        answer = await super().handle(method, path, query, headers, body)
        if answer and "hold" in path and answer[0] == 200:
            answer[1]["born"] = self.born_unix_ms
        return answer

    async def restart_cut_off(self):
        self.fleet.record.add("restart", runner=self.id, seen_token=self.fence)
        self.cut_from = self.fence // TOKENS_PER_HOLDER * TOKENS_PER_HOLDER
        self.beating.cancel()
        self.die()
        self.reborn()

    def reconnect(self):
        """Ends the cut; the runner writes its entry again."""
        if self.cut_from is not None:
            self.fleet.record.add("reconnect", runner=self.id)
            self.cut_from = None
            self.beating = asyncio.ensure_future(self.beat())


def runners(fleet):
    for number in range(RUNNERS):
        labels = ["b" if number == 0 else "a", f"r1-{number // 4}"]
        yield BornRunner(fleet, f"m-{number:05x}", "pa", 32_000, 131_072, labels)


async def until(when):
    await asyncio.sleep(max(0.0, when - now_s()))


async def main():
    folder = tempfile.mkdtemp(prefix="case7-")
    here = os.path.dirname(os.path.abspath(__file__))
    daemon = os.path.join(here, "../../target/release/dewspard")
    world = World(folder, daemon, os.path.join(here, "record.txt"), NODES)
    try:
        await world.start(runners, ROUTES, SERVICES)
        if not await world.ready():
            return 2
        await asyncio.sleep(2)
        first = world.leader()
        others = [node for node in world.nodes if node is not first]
        start = now_s()
        cut_at = start + 1.0
        due_at = cut_at + DUE_AFTER_CUT_S
        due_ms = int((time.time() + due_at - now_s()) * 1000)
        step = dict(Count=1, Cpu=2300, MemMb=4700, EstimateMs=3000)
        timed = dict(Spec="timed", Steps=[step], RepeatCount=1, StartAtMs=due_ms, IntervalMs=60_000, _work={0: WORK_S})
        id = await world.submit("r-quick", timed, node=others[0])
        if first is None or id not in world.fleet.accepted:
            return 2
        await until(cut_at)
        if TROUBLE:
            world.record.add("cut", node=first.name)
            world.store.CUT.add(first.name)
            while world.leader() in (None, first):
                await asyncio.sleep(0.05)
                if now_s() > due_at - 1.5:
                    return 2
            world.record.add("holder", node=world.leader().name)
            await asyncio.sleep(0.7)
        # Work that only the first runner may do, so that the new holder prefers it.
        label = dict(Count=1, Cpu=2300, MemMb=4700, EstimateMs=6000, Requirements="b")
        await world.submit("r-quick", dict(Spec="label", Steps=[label], _work={0: 6.0}), node=others[1])
        await until(due_at - RESTART_BEFORE_S)
        if TROUBLE:
            await world.fleet.runners[-1].restart_cut_off()
        await until(cut_at + CUT_S)
        world.store.CUT.clear()
        world.fleet.runners[-1].reconnect()
        await asyncio.sleep(6)
        world.check_end()
        twice = [row for row in world.fleet.broken if row[0] == "TWICE"]
        world.record.add("result", twice=len(twice), starts=world.fleet.starts.get(f"{id}.0.0.0"),
                         broken=world.fleet.broken)
        print(world.record.rows[-1])
        if f"{id}.0.0.0" not in world.fleet.starts:
            return 2
        return 1 if twice else 0
    finally:
        await world.stop()
        shutil.rmtree(folder, ignore_errors=True)


run(main)
