"""A reverse proxy as one would write it with `twisted.web`: a resource, an agent, kept connections.

    python -m wheatring.lab.live.bench.web HOST UPSTREAM_HOST UPSTREAM_PORT

prints `listening port=PORT`. `twisted.web.proxy.ReverseProxyResource` would be shorter but makes a new
connection for each request, which says more of connects than of proxying. It keeps no access log, as the
sidecar keeps none.
"""

from __future__ import annotations

import sys
import warnings
from typing import Any

from twisted.internet import reactor as installed
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

reactor: Any = installed
HOP = {b"connection", b"content-length", b"host", b"keep-alive", b"transfer-encoding", b"te", b"upgrade"}


def passed_on(headers: Headers) -> Headers:
    return Headers({name: values for name, values in headers.getAllRawHeaders() if name.lower() not in HOP})


class Proxy(Resource):
    isLeaf = True

    def __init__(self, agent: Any, upstream: bytes) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.agent = agent
        self.upstream = upstream

    def render(self, request: Any) -> int:
        headers = passed_on(request.requestHeaders)
        self.agent.request(request.method, self.upstream + request.uri, headers).addCallback(
            self.answered, request
        ).addErrback(self.failed, request)
        return NOT_DONE_YET

    def answered(self, response: Any, request: Any) -> Any:
        request.setResponseCode(response.code)
        for name, values in passed_on(response.headers).getAllRawHeaders():
            request.responseHeaders.setRawHeaders(name, values)
        return readBody(response).addCallback(self.whole, request)

    def whole(self, body: bytes, request: Any) -> None:
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()

    def failed(self, failure: object, request: Any) -> None:
        request.setResponseCode(502)
        request.finish()


class QuietSite(Site):
    noisy = False

    def log(self, request: object) -> None:
        """Nothing is written, so nothing is made ready to be written."""


def main() -> None:
    warnings.simplefilter("ignore", DeprecationWarning)  # of the agent's about itself, at each answer
    pool = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
    pool.maxPersistentPerHost = 64
    upstream = f"http://{sys.argv[2]}:{sys.argv[3]}".encode()
    agent = Agent(reactor, pool=pool)  # type: ignore[no-untyped-call]
    site: Any = QuietSite(Proxy(agent, upstream))  # type: ignore[no-untyped-call]
    port = reactor.listenTCP(0, site, interface=sys.argv[1], backlog=511)
    print(f"listening port={port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
