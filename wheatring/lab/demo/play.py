"""Runs a conversation through three controllers, three storage replicas, two sidecars and two endpoints."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from pathlib import Path

import click
import httpx

from wheatring.lab.demo.model_server import ModelServer
from wheatring.lab.scale.local_tier import CONTROL_PORT, LocalTier
from wheatring.lab.scale.platform_stub import PlatformStub

FRONT_PORT, ENDPOINT_PORT = 28149, 28080
START_TIMEOUT_SECONDS = 15.0  # for the configuration to be accepted, and for each turn to be served
RETRY_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 5.0
TURNS = 4
HOST = "chat.example"

CONFIGURATION = {
    "generation": 1,
    "routes": [
        {
            "name": "chat",
            "hostname": HOST,
            "pathPrefix": "/chat/",
            "routeType": "streaming",
            "timeoutMs": 4000,
            "targetLatencyMs": 200,
            "priority": 0,
            "maxAttempts": 2,
            "backend": "model",
            "retained": True,
            "retentionS": 60,
        }
    ],
    "services": [{"name": "model", "engine": {"slots": 4, "stride": 10}}],
}


class DemoFailedError(Exception):
    """A step of the demonstration did not succeed in time."""


def _endpoints() -> list[ModelServer]:
    return [ModelServer(f"i-{number}", f"127.0.3.{number}", ENDPOINT_PORT) for number in (1, 2)]


def _entries(servers: list[ModelServer]) -> list[dict[str, object]]:
    return [
        {
            "id": server.endpoint_id,
            "backend": "model",
            "address": f"{server.host}:{server.port}",
            "zone": "z1",
            "generation": "v1",
            "slots": 4,
            "state": "ready",
            "coldMs": 0,
        }
        for server in servers
    ]


async def _configure(client: httpx.AsyncClient) -> None:
    headers = {"Wheatring-Base-Revision": "0"}
    for _ in range(int(START_TIMEOUT_SECONDS / RETRY_SECONDS)):
        try:
            url = f"http://127.0.1.1:{CONTROL_PORT}/config/replace"
            reply = await client.post(url, content=json.dumps(CONFIGURATION), headers=headers)
            if reply.status_code == httpx.codes.OK:
                return
        except httpx.HTTPError:
            pass
        await asyncio.sleep(RETRY_SECONDS)
    raise DemoFailedError("no controller accepted the configuration in time")


async def _turn(client: httpx.AsyncClient, sidecar: str, number: int) -> list[str]:
    headers = {
        "Host": HOST,
        "Wheatring-Request-Id": f"turn-{number}",
        "Wheatring-Deadline-Ms": "3500",
        "Program": "demo",
        "Budget": "1000",
        "Wheatring-Token-Usage": "100,40",
    }
    if number > 1:
        headers["Previous"] = f"turn-{number - 1}"
    for _ in range(int(START_TIMEOUT_SECONDS / RETRY_SECONDS)):
        try:
            url = f"http://{sidecar}:{FRONT_PORT}/chat/x"
            reply = await client.post(url, content=f"question {number}. ".encode(), headers=headers)
        except httpx.HTTPError:
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if reply.status_code == httpx.codes.OK:
            return [line[6:] for line in reply.text.splitlines() if line.startswith("data: ")]
        await asyncio.sleep(float(reply.headers.get("Retry-After", "0.2")))
    raise DemoFailedError(f"turn {number} was not served")


async def play() -> None:
    """Run the demonstration. Raises DemoFailedError."""
    servers = _endpoints()
    platform = PlatformStub(0)
    platform.entries.extend(_entries(servers))
    with tempfile.TemporaryDirectory() as folder:
        tier = LocalTier(Path(folder), controllers=3, storage=3, losses=1)
        try:
            await platform.start()
            for server in servers:
                await server.start()
            tier.start()
            for number in (1, 2):
                tier.start_sidecar(number, FRONT_PORT)
            async with httpx.AsyncClient(trust_env=False, timeout=CALL_TIMEOUT_SECONDS) as client:
                await _converse(client, tier)
        finally:
            tier.close()
            platform.close()
            for server in servers:
                server.close()


async def _converse(client: httpx.AsyncClient, tier: LocalTier) -> None:
    await _configure(client)
    click.echo("a configuration is in place; each turn goes through the other sidecar than the one before")
    for number in range(1, TURNS + 1):
        if number == 3:
            tier.stop(tier.processes("storage")[0], signal.SIGKILL)
            click.echo("a storage replica is killed")
        sidecar = f"127.0.4.{1 + number % 2}"
        events = await _turn(client, sidecar, number)
        click.echo(f"turn {number} through {sidecar}: {events[-1]}")
    click.echo("the conversation was kept whole")
