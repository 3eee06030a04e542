"""Freezes one machine after the other under ordinary load, and checks that each goes on."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from clients import Crowd, Kind  # noqa: E402
from deployment import (  # noqa: E402
    BOUNDS,
    LIMITS,
    Deployment,
    Machine,
    describe_service,
    fetch,
    gather_route,
    new_id,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHARDS = [f"shop{index}" for index in range(15)]
TIMEOUT_MS = 600
PREFIX = "/lookup/"
FREEZE_S = 1.0
PAUSE_S = 0.6
PLAY_S = 85.0
# Requests sent to each machine at the end, and the largest share of them that may stay unanswered.
CHECKED_REQUESTS = 16
MAX_UNANSWERED = 7
MAX_UNANSWERED_SHARE = 0.25


async def freeze_in_turn(deployment: Deployment, end_at: float) -> None:
    """Stop one machine at a time for a second, with a pause in between."""
    turn = 0
    while time.monotonic() < end_at:
        machine = deployment.machines[turn % len(deployment.machines)]
        turn += 1
        machine.signal(signal.SIGSTOP)
        deployment.note(f"freeze {machine.name} for {FREEZE_S} s")
        await asyncio.sleep(FREEZE_S)
        machine.signal(signal.SIGCONT)
        await asyncio.sleep(PAUSE_S * random.uniform(0.7, 1.3))
        if not await deployment.is_ready(machine):
            deployment.note(f"{machine.name} does not answer at its ready address after the freeze")
            return


async def ask(deployment: Deployment, machine: Machine) -> str:
    """Send one request to a machine and return how it ended."""
    request_id = new_id()
    deployment.note_sent(request_id, machine.front, f"{PREFIX} 0")
    end = await wait_for_end(machine, request_id)
    deployment.note_end(request_id, end)
    return end


async def wait_for_end(machine: Machine, request_id: str) -> str:
    """Send one request and wait for half a second longer than the route's timeout."""
    headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(TIMEOUT_MS)}
    try:
        wait_s = TIMEOUT_MS / 1000 + 0.5
        response = await fetch(machine.front, "GET", PREFIX + "2f", headers, timeout_s=wait_s)
    except TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError):
        return "closed"
    return str(response.status) if response is not None else "closed"


async def check(deployment: Deployment, machine: Machine) -> bool:
    """Return whether a calm machine answers requests within their timeout and half a second."""
    cpu_s = machine.read_cpu_s()
    started = time.monotonic()
    answers = []
    for _ in range(CHECKED_REQUESTS // 4):
        answers += await asyncio.gather(*(ask(deployment, machine) for _ in range(4)))
    ready = await deployment.is_ready(machine)
    used = (machine.read_cpu_s() - cpu_s) / (time.monotonic() - started)
    unanswered = answers.count("no answer")
    deployment.note(
        f"{machine.name}: ready {ready}, processor in use {used:.2f}, answers {sorted(answers)}"
    )
    broken = unanswered > MAX_UNANSWERED and unanswered > MAX_UNANSWERED_SHARE * len(answers)
    return not broken


async def play() -> int:
    deployment = Deployment(RECORD, ["kolkata-a", "howrah-a"], machines=2, memory_mb=222)
    try:
        for shard in SHARDS:
            deployment.add_searchers(shard, 3, slots=3, work_ms=7.5, records=6)
        route = gather_route("lookup", SHARDS, PREFIX, TIMEOUT_MS, 68)
        services = [describe_service(shard, 66) for shard in SHARDS]
        await deployment.start({"routes": [route], "services": services, "limits": LIMITS})
        crowd = Crowd(deployment, [Kind("lookup", PREFIX, TIMEOUT_MS, rate=100.0)])
        crowd.start()
        await asyncio.sleep(5.0)
        end_at = time.monotonic() + PLAY_S
        if TROUBLE:
            await freeze_in_turn(deployment, end_at)
        else:
            await asyncio.sleep(20.0)
        # From here on nothing is disturbed; then every machine is in touch.
        await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 1.0)
        deployment.note(f"ends so far: {dict(crowd.ends)}")
        await crowd.stop()
        held = [await check(deployment, machine) for machine in deployment.machines]
        deployment.write_attempts()
        deployment.note("the rule held" if all(held) else "the rule was broken")
        return 0 if all(held) else 1
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(play)
