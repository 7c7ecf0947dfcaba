"""The cost of a start, as many processes may start on one machine simultaneously and must be ready soon.

The test checks counts of modules, files and compilations, as times would depend on the machine.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.support.process import wait_for_line, write_platform_config
from tests.support.world import WAIT_LIMIT_SECONDS, Peer, Wire, entry
from wheatring.daemon import lazy_imports

ROOT = Path(__file__).parents[3]
# Runs the program, and reports on standard error the state when it bound its socket, and the deferred modules
# that it had used by its end.
REPORTING_PROGRAM = """
import gc, json, os, sys
from wheatring.daemon import lazy_imports
done = {"open": [], "compile": 0}
def seen(event, args):
    if event == "open":
        done["open"].append(str(args[0]))
    elif event == "compile" and not str(args[1]).endswith(".py"):  # `build` leaves bytecode of the files
        done["compile"] += 1
    elif event == "socket.bind":
        now = {**done, "modules": sorted(sys.modules), "collects": gc.isenabled()}
        print(json.dumps(now), file=sys.stderr, flush=True)
def end(status, leave=os._exit):
    deferred = lazy_imports.DeferredModule
    used = [name for name in lazy_imports.DEFERRED if type(sys.modules.get(name)) is not deferred]
    print(json.dumps({"used": used, "collects": gc.isenabled()}), file=sys.stderr, flush=True)
    leave(status)
os._exit = end
sys.addaudithook(seen)
from wheatring.__main__ import main
main(["--operators", "deploy/operator.properties", "--capture"])
"""
# A third-party module costs about 1 ms of CPU time, and so does a data class, whose methods are compiled. A
# module of this project that was split off an existing one costs little: going from 44 to 71 of them cost a
# start 2.1 % more instructions (callgrind) and 1.1 % more memory; the shared package and its exceptions cost
# 0.1 % of the instructions. Raise these limits only for modules that a start requires.
MAX_THIRD_PARTY_MODULES = 278
MAX_OWN_MODULES = 76
MAX_COMPILATIONS = 251  # at run time, without those of modules


def test_a_start_loads_few_modules_and_files_and_deferred_modules_stay_unloaded(tmp_path: Path) -> None:
    node, discovery = Peer(), Peer()
    known = {"generation": 3, "instances": [entry("n0", node)]}
    config = write_platform_config(tmp_path, known=known, discovery=f"127.0.0.1:{discovery.port}")
    environment = {**os.environ, "LB_CONFIG": str(config), "TMPDIR": str(tmp_path)}
    pipes: dict[str, Any] = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE, "text": True}
    with subprocess.Popen(
        [sys.executable, "-c", REPORTING_PROGRAM], cwd=ROOT, env=environment, **pipes
    ) as process:
        try:
            assert process.stderr is not None
            at_bind = json.loads(process.stderr.readline())
            port = int(wait_for_line(process, "listening").rpartition("=")[2])
            watch = discovery.accept()
            watch.read()
            watch.close()  # then a failed call, a reload, a request, and closed connections
            discovery.accept().read()
            process.send_signal(signal.SIGHUP)
            wait_for_line(process, "reloaded")
            wire = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
            wire.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c1\r\n\r\n")
            attempt = node.accept()
            attempt.read()
            attempt.answer(200, b"ok")
            assert wire.read()[2] == b"ok"
            attempt.close()
            wire.close()
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_LIMIT_SECONDS) == 0
            at_end = json.loads(process.stderr.readline())
        finally:
            process.kill()
            node.close()
            discovery.close()
    assert at_end == {"used": [], "collects": True} and not at_bind["collects"]
    own = [name for name in at_bind["modules"] if name.partition(".")[0] == "wheatring"]
    assert len(own) <= MAX_OWN_MODULES, own
    assert len(at_bind["modules"]) - len(own) <= MAX_THIRD_PARTY_MODULES, at_bind["modules"]
    assert at_bind["compile"] <= MAX_COMPILATIONS, at_bind["compile"]
    files = [Path(name).name for name in at_bind["open"] if not name.endswith((".py", ".pyc"))]
    assert sorted(files) == ["c.json", "capture-n1-000001.log", "null", "operator.properties"]
    assert set(lazy_imports.DEFERRED) <= {*at_bind["modules"]}, "a name that nothing imports any more"
    assert not {"_ssl", "_pickle", "argparse", "wheatring.daemon.config.project_file"} & {*at_bind["modules"]}
