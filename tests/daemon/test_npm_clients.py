"""JavaScript clients, installed by npm for the run: outside CI, as that needs the npm registry."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path

import pytest

from tests.daemon.test_session_commands import INFO, running
from tests.sockets import RunningRouter

__all__ = ["running"]

PACKAGES = ("ioredis@5", "redis@5")
SCRIPT = """
const Redis = require('ioredis'), { createClient } = require('redis');
(async () => {
  const found = [], info = process.argv[2], port = Number(process.argv[1]);
  const one = new Redis(port, '127.0.0.1', { connectionName: 'me' });
  found.push(await one.ping(), await one.call('KV.MGET', 4, 'a', 'none', 'b', 'a', 'q', info));
  const pipe = one.pipeline();
  pipe.call('KV.GET', 'x', 'r', info);
  pipe.call('KV.MGET', 2, 'y', 'z', 's', info);
  found.push(await pipe.exec());
  await one.quit();
  for (const RESP of [2, 3]) {
    const two = createClient({ socket: { port, host: '127.0.0.1' }, RESP, name: 'me' });
    await two.connect();
    found.push(await two.sendCommand(['KV.MGET', '2', 'a', 'none', 't' + RESP, info]));
    await two.close();
  }
  console.log(JSON.stringify(found));
})().catch(error => { console.error(error); process.exit(1); });
"""


@pytest.mark.long
def test_ioredis_and_node_redis_with_default_settings(running: RunningRouter, tmp_path: Path) -> None:
    folder = tmp_path / "npm"
    folder.mkdir()
    subprocess.run(["npm", "install", "--prefix", str(folder), *PACKAGES], check=True, capture_output=True)
    words = ["node", "-e", SCRIPT, str(running.port), INFO]
    ran = subprocess.run(words, cwd=folder, capture_output=True, text=True, timeout=60)
    assert ran.returncode == 0, ran.stderr
    assert json.loads(ran.stdout) == [
        "PONG",
        ["of a", None, "of b", "of a"],
        [[None, "of x"], [None, ["of y", "of z"]]],
        ["of a", None],
        ["of a", None],
    ]
